// Package pacrowd tests the daemons beside crowds of clients that do not behave.
//
// A test starts the real command as a process of its own on loopback addresses, with a lowered memory limit, and a crowd: many
// connections that send the same, again and again for some seconds. It checks what does not depend on the speed of the machine: the
// process lives, its memory and its open descriptors stay under their bounds, and an ordinary request is answered afterwards.
// "go test ./pacrowd -crowd" runs them, one at a time; they are to run apart from other load.
package pacrowd
