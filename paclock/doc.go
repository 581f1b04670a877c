// Package paclock provides functions of the standard context package on an injected clock.
package paclock
