// Package palink keeps the traffic between two regions below the capacity of the link.
//
// Each direction of a link is budgeted by the entry VMs that send on it, both for forwarded requests and for the
// answers to them. A LinkShare gives the part of the link that this entry VM may use: the link's capacity without the
// reserve, divided by the number of members that the region's entry VMs agree on (package paview), so that the parts
// never add up to more than the whole while members come and go.
//
// A Budget reserves that part for messages that are ready to be sent, on two schedules that run at fixed fractions of
// the rate: one is kept for short messages, on the other long transfers are paced chunk by chunk. Each message uses the
// schedule that is free first, long ones the short schedule only while it is idle. The size of an answer is predicted
// by an Estimate before its request runs, and the answer is scheduled when its size is known.
package palink
