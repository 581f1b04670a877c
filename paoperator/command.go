package paoperator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"papayahead/paplatform"
	"papayahead/paroll"
)

// defaultTimeout limits a whole command. A roll-out makes about a dozen store calls of milliseconds
// each; 30 s leaves time to retry writes through a short outage before the failure is reported.
const defaultTimeout = 30 * time.Second

// Commands builds the operators' command line.
type Commands struct {
	// Clock supplies the timestamps of records and the pauses between retries.
	Clock clockwork.Clock
	// Random supplies the jitter of retry delays.
	Random *rand.Rand
	// Output receives the results.
	Output io.Writer
	// Open returns a client of the store at an address.
	Open func(address string, caller paplatform.Caller) paplatform.Store
}

// Command returns the command "bundle" with its subcommands.
func (c *Commands) Command() *cli.Command {
	return &cli.Command{
		Name:  "bundle",
		Usage: "check bundles and bring them into force",
		Description: "Exit codes: 0 done; 1 refused, nothing changed; 2 the bundle is invalid; 3 another operator came first;\n" +
			"4 a reply was lost, repeat the command; 5 the store does not answer, the head is unchanged.",
		Flags: flags(),
		Commands: []*cli.Command{
			{Name: "check", ArgsUsage: "FILE", Usage: "validate a bundle file and report every error", Action: c.action(1, needsNothing, c.check)},
			{Name: "propose", ArgsUsage: "FILE", Usage: "put a bundle into the store for review", Action: c.action(1, needsOperator, c.propose)},
			{Name: "review", ArgsUsage: "DIGEST", Usage: "show what a version changes and record that you read it", Flags: []cli.Flag{
				&cli.StringFlag{Name: "note", Usage: "a note for the record"},
			}, Action: c.action(1, needsOperator, c.review)},
			{Name: "sign-off", ArgsUsage: "DIGEST", Usage: "allow the roll-out of a version on top of the head in force", Action: c.action(1, needsOperator, c.signOff)},
			{Name: "roll-out", ArgsUsage: "DIGEST", Usage: "bring a signed-off version into force", Flags: rollFlags(), Action: c.action(1, needsOperator, c.rollOut)},
			{Name: "roll-back", ArgsUsage: "DIGEST", Usage: "bring an earlier version into force again", Flags: rollFlags(), Action: c.action(1, needsOperator, c.rollBack)},
			{Name: "status", Usage: "show the head in force and all versions", Action: c.action(0, needsStore, c.status)},
			{Name: "diff", ArgsUsage: "FROM TO", Usage: "show what changes between two bundles: each a file, a digest or head", Action: c.action(2, needsStore, c.diff)},
		},
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "store", Sources: cli.EnvVars("PAPAYAHEAD_STORE"), Usage: "address of the platform's store, such as http://127.0.0.1:7000"},
		&cli.StringFlag{Name: "deployment", Sources: cli.EnvVars("PAPAYAHEAD_DEPLOYMENT"), Usage: "the deployment's name, such as kartuli"},
		&cli.StringFlag{Name: "operator", Sources: cli.EnvVars("PAPAYAHEAD_OPERATOR"), Usage: "your name, for the record"},
		&cli.StringFlag{Name: "output", Value: "text", Sources: cli.EnvVars("PAPAYAHEAD_OUTPUT"), Usage: "text or json"},
		&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Sources: cli.EnvVars("PAPAYAHEAD_TIMEOUT"), Usage: "time limit of the whole command"},
	}
}

func rollFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "after", Usage: "the sequence that you expect in force; default: for roll-out the one signed off against, for roll-back the current one"},
		&cli.Uint64Flag{Name: "floor", Usage: "make the new sequence higher than this, after the store lost writes"},
	}
}

// requirement is the set of settings that a command requires.
type requirement int

const (
	needsNothing  requirement = iota
	needsStore                // store and deployment
	needsOperator             // store, deployment and operator
)

// invocation holds what one run of a command uses.
type invocation struct {
	command  *cli.Command
	operator *paroll.Operator
	output   printer
}

// action returns an action that validates all settings, reports all problems in one error, and only
// then runs the command.
func (c *Commands) action(arguments int, n requirement, do func(context.Context, invocation) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if problems := checkSettings(command, arguments, n); len(problems) > 0 {
			return withExitCode(trace.BadParameter("bundle %s:\n  %s", command.Name, strings.Join(problems, "\n  ")))
		}
		ctx, cancel := context.WithTimeout(ctx, command.Duration("timeout"))
		defer cancel()
		name := command.String("operator")
		r := invocation{command: command, output: printer{c.Output, command.String("output") == "json"}}
		r.operator = &paroll.Operator{
			Name: name, Deployment: command.String("deployment"), Clock: c.Clock, Random: c.Random,
			Store: c.Open(command.String("store"), paplatform.Caller("operator:"+name)),
		}
		return withExitCode(do(ctx, r))
	}
}

// checkSettings returns one message for each invalid setting of a command.
func checkSettings(command *cli.Command, arguments int, n requirement) []string {
	var problems []string
	problem := func(format string, given ...any) { problems = append(problems, fmt.Sprintf(format, given...)) }
	if command.NArg() != arguments {
		problem("%d arguments given, want %d: %s", command.NArg(), arguments, command.ArgsUsage)
	}
	if given := command.String("output"); given != "text" && given != "json" {
		problem("--output (PAPAYAHEAD_OUTPUT): %q given, want text or json", given)
	}
	if given := command.Duration("timeout"); given <= 0 {
		problem("--timeout (PAPAYAHEAD_TIMEOUT): %s given, want a duration above 0, such as 30s", given)
	}
	if n == needsNothing {
		return problems
	}
	if given := command.String("store"); !isStoreAddress(given) {
		problem("--store (PAPAYAHEAD_STORE): %q given, want http://IP:PORT", given)
	}
	if command.String("deployment") == "" {
		problem("--deployment (PAPAYAHEAD_DEPLOYMENT): not set, want the deployment's name")
	}
	if n == needsOperator && command.String("operator") == "" {
		problem("--operator (PAPAYAHEAD_OPERATOR): not set, want your name")
	}
	return problems
}

// isStoreAddress reports whether the value is an http or https URL whose host is a numeric IP and port.
func isStoreAddress(given string) bool {
	u, err := url.Parse(given)
	if err != nil || !slices.Contains([]string{"http", "https"}, u.Scheme) {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}
