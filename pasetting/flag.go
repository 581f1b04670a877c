package pasetting

import (
	"strings"

	"github.com/urfave/cli/v3"
)

// EnvPrefix is the prefix of every setting's environment variable.
const EnvPrefix = "PAPAYAHEAD_"

// EnvVar returns the name of a flag's environment variable.
func EnvVar(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Flags returns the command line flags of the settings. All are string flags, because the flag library
// stops at the first invalid value whereas ParseEntry reports all of them at once.
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

// FlagValues returns the values of the settings from a command, keyed by flag name.
func FlagValues(c *cli.Command, settings []Setting) map[string]string {
	given := map[string]string{}
	for _, s := range settings {
		given[s.Flag] = c.String(s.Flag)
	}
	return given
}
