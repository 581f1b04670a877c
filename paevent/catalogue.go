package paevent

// Catalogue returns one zero event of each kind, grouped by number range.
func Catalogue() []Event {
	var all []Event
	all = append(all, daemonEvents...)
	all = append(all, controlEvents...)
	all = append(all, bundleEvents...)
	all = append(all, memberEvents...)
	all = append(all, ownerEvents...)
	all = append(all, limitEvents...)
	all = append(all, requestEvents...)
	all = append(all, standEvents...)
	all = append(all, gateEvents...)
	return all
}

// daemonEvents have the numbers 1001 to 1099: the life cycle of a process.
var daemonEvents = []Event{Started{}, Stopping{}, Stopped{}, SettingsRefused{}}
