// Package paretry implements retry budgets: bounds on the retries and hedged requests that are sent beside first attempts,
// whatever fails.
//
// A Budget is a token bucket of one owner, which shrinks as load grows: first attempts add tokens and further attempts spend them.
//
// A Share is an entry VM's part of a budget that all entry VMs use together, as an Allowance states it. It starts empty. Each request
// earns a fraction of a token at the entry VM that receives it, and time earns the floor, of which each entry VM has a part. Tokens last
// for a third of the window, or for a window if time earned them, so that over any window W at most
//
//	0.95 x (3/4 x Ratio x the requests in W and in the third of W before it + Floor x the sum of the parts)
//
// retries are granted, where the sum of the parts is the largest one in W and the window before it. The bound names no entry VM and no
// lifetime: whichever start, stop, are killed, cut off, added or removed, a process spends only what it earned itself, and what it leaves
// unspent is lost. Nothing is told to anyone.
package paretry
