package pasetting

import (
	"fmt"
	"strings"
)

// SettingError is one setting that is missing or wrong.
type SettingError struct {
	// Flag and EnvVar are the two names of the setting.
	Flag, EnvVar string
	// Value is the value as it was given; it is empty if none was.
	Value string
	// Allowed says what the setting takes.
	Allowed string
}

// String describes the fault in one line.
func (f SettingError) String() string {
	given := "not set"
	if f.Value != "" {
		given = fmt.Sprintf("%q", f.Value)
	}
	return fmt.Sprintf("--%s (%s): given %s, allowed: %s", f.Flag, f.EnvVar, given, f.Allowed)
}

// SettingErrors is every fault found in one check; as an error it lists them all.
type SettingErrors []SettingError

// Error lists the faults, one a line.
func (f SettingErrors) Error() string {
	lines := []string{fmt.Sprintf("%d settings are missing or wrong:", len(f))}
	if len(f) == 1 {
		lines[0] = "1 setting is missing or wrong:"
	}
	for _, x := range f {
		lines = append(lines, "  "+x.String())
	}
	return strings.Join(lines, "\n")
}
