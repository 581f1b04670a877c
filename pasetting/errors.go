package pasetting

import (
	"fmt"
	"strings"
)

// SettingError describes one missing or invalid setting.
type SettingError struct {
	// Flag and EnvVar name the setting's command line flag and environment variable.
	Flag, EnvVar string
	// Value is the value as given; empty if none was.
	Value string
	// Allowed describes the values that the setting accepts.
	Allowed string
}

// String formats the error as one line.
func (f SettingError) String() string {
	given := "not set"
	if f.Value != "" {
		given = fmt.Sprintf("%q", f.Value)
	}
	return fmt.Sprintf("--%s (%s): given %s, allowed: %s", f.Flag, f.EnvVar, given, f.Allowed)
}

// SettingErrors collects all errors of one validation.
type SettingErrors []SettingError

// Error lists the errors, one per line.
func (f SettingErrors) Error() string {
	lines := []string{fmt.Sprintf("%d settings are missing or invalid:", len(f))}
	if len(f) == 1 {
		lines[0] = "1 setting is missing or invalid:"
	}
	for _, x := range f {
		lines = append(lines, "  "+x.String())
	}
	return strings.Join(lines, "\n")
}
