// Package pasetting parses and validates the settings of papayahead's processes.
//
// Each setting is a command line flag with an environment variable as its alternative. All settings
// of a process are validated before it opens a port. One error lists every missing or invalid
// setting with the value given and the values allowed.
package pasetting
