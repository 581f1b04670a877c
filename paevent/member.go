package paevent

// memberEvents have the numbers 3001 to 3999, reserved for membership and gossip; there are none yet.
var memberEvents []Event
