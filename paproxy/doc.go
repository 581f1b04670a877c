// Package paproxy proxies HTTP requests: from the caller to the entry VM, and on to a target or to
// the entry VM that owns one.
//
// A Proxy is the http.Handler for callers. It reads a Request, asks its Placer where to send it,
// sends it once, and streams the response back. A refusal states at once whether the request ran
// and when to retry. TargetClient sends to targets of the same zone, PeerClient forwards to other
// entry VMs over DRPC, and a CallRegistry lets the origin of a lost call ask whether it was started
// and keep it from starting.
//
// Every request ends with one Outcome: Answered, NotRun or Unknown. NotRun is reported only if no
// byte of the request can have reached a target. The package makes no decisions about load: these
// are the Placer's, which receives the Result of each attempt.
package paproxy
