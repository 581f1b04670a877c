// Package pascenario is a small test language for whole deployments: scripts of testscript commands
// that start a platform, targets, entry VMs, a wire between them and callers as separate processes,
// make them fail, and say what has to hold.
//
// A script is read by an operator as it stands:
//
//	deploy instituto
//	load day rate=100 duration=8s post=deposits
//	kill entry-3
//	expect day Answered>=95% Wrong=0 Duplicates=0 FalseNotRun=0
//
// Each script has addresses of its own on loopback, so that scripts run side by side. The package
// holds the language; how processes are started is given to it, by the test that runs the scripts.
package pascenario
