package pasetting

import (
	"strings"

	"github.com/urfave/cli/v3"
)

// EnvPrefix begins the environment variable of every setting.
const EnvPrefix = "PAPAYAHEAD_"

// EnvVar returns the environment variable of a flag.
func EnvVar(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Flags returns the command line flags of the settings. All take text: the check of the values is
// left to ParseEntry, which reports every fault at once where the flag library stops at the first.
func Flags(settings []Setting) []cli.Flag {
	var flags []cli.Flag
	for _, s := range settings {
		flags = append(flags, &cli.StringFlag{
			Name:    s.Flag,
			Usage:   s.Usage + " (" + s.Allowed + ")",
			Value:   s.Default,
			Sources: cli.EnvVars(EnvVar(s.Flag)),
		})
	}
	return flags
}

// FlagValues collects the values of the settings from a command.
func FlagValues(c *cli.Command, settings []Setting) map[string]string {
	given := map[string]string{}
	for _, s := range settings {
		given[s.Flag] = c.String(s.Flag)
	}
	return given
}
