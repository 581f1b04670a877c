package paroll

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"papayahead/pabundle"
	"papayahead/paplatform"
)

// smallBundle returns a valid bundle with one target, which is fast to split and assemble.
func smallBundle(comment string) pabundle.Bundle {
	d := pabundle.Duration{Duration: time.Second}
	return pabundle.Bundle{
		Format: pabundle.FormatVersion, Deployment: "kartuli", Comment: comment,
		Policy:  pabundle.Policy{First: pabundle.LatencyFirst},
		Regions: []pabundle.Region{{Name: "tbilisi", Zones: []pabundle.ZoneName{"tbilisi-1"}, MaxInFlight: 3}},
		Services: []pabundle.Service{{
			Name: "billing", Timeout: d, MaxTimeout: d, TypicalRun: d, KeyMemory: d,
			Shift:  pabundle.ShiftCap{Share: 0.1, Window: d},
			Shares: []pabundle.Share{{From: "tbilisi", To: "tbilisi", Share: 1}},
			Targets: []pabundle.Target{{
				Name: "billing-01", Zone: "tbilisi-1", Address: netip.MustParseAddrPort("127.0.0.1:22001"), Slots: 3, MaxConnections: 9,
			}},
		}},
		ClientBlocks: []pabundle.ClientBlock{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Region: "tbilisi"}},
	}
}

// schedule runs one call to the store at a time, in random order, and drops calls and replies at random.
type schedule struct {
	random *rand.Rand
	arrive chan pendingCall
	done   chan struct{}
	late   []func()
	steps  int64
	// frozen is the client whose calls wait until step thaw.
	frozen int
	thaw   int64
}

// pendingCall is a call that waits to be scheduled.
type pendingCall struct {
	client int
	begin  chan struct{}
}

// run starts the operators and schedules their calls until all are done; each is called after every step.
func (s *schedule) run(operators []func(), each func()) {
	for _, o := range operators {
		go func() { o(); s.done <- struct{}{} }()
	}
	running, alive := len(operators), len(operators)
	var waiting []pendingCall
	for alive > 0 {
		for running > 0 {
			select {
			case w := <-s.arrive:
				waiting = append(waiting, w)
			case <-s.done:
				alive--
			}
			running--
		}
		slices.SortFunc(waiting, func(a, b pendingCall) int { return a.client - b.client })
		each()
		if len(s.late) > 0 && s.random.IntN(3) == 0 {
			s.late[0]()
			s.late = s.late[1:]
			each()
		}
		if len(waiting) > 0 {
			n := s.pick(waiting)
			running++
			close(waiting[n].begin)
			waiting = append(waiting[:n], waiting[n+1:]...)
		}
	}
}

// pick selects the next call. Occasionally it delays one operator for as long as another needs for a whole
// command.
func (s *schedule) pick(waiting []pendingCall) int {
	n := s.random.IntN(len(waiting))
	if s.steps >= s.thaw && s.random.IntN(10) == 0 {
		s.frozen, s.thaw = waiting[n].client, s.steps+40
	}
	if s.steps < s.thaw && waiting[n].client == s.frozen {
		n = (n + 1) % len(waiting)
	}
	return n
}

// scheduledStore is a store whose calls wait for the schedule.
type scheduledStore struct {
	paplatform.Store
	schedule *schedule
	client   int
}

func (s scheduledStore) wait() {
	w := pendingCall{s.client, make(chan struct{})}
	s.schedule.arrive <- w
	<-w.begin
	s.schedule.steps++
}

func (s scheduledStore) Get(ctx context.Context, key paplatform.Key) (paplatform.Value, bool, error) {
	s.wait()
	if s.schedule.random.IntN(12) == 0 {
		return paplatform.Value{}, false, &paplatform.Error{Fault: paplatform.Unavailable, Key: key}
	}
	return s.Store.Get(ctx, key)
}

func (s scheduledStore) CompareAndSwap(
	ctx context.Context, key paplatform.Key, r paplatform.Revision, data []byte, l paplatform.LeaseID,
) (paplatform.Revision, error) {
	s.wait()
	unknown := &paplatform.Error{Fault: paplatform.Unknown, Key: key}
	swap := func() { _, _ = s.Store.CompareAndSwap(ctx, key, r, data, l) }
	switch s.schedule.random.IntN(8) {
	case 0:
		return 0, unknown
	case 1:
		swap()
		return 0, unknown
	case 2:
		s.schedule.late = append(s.schedule.late, swap)
		return 0, unknown
	case 3:
		return 0, &paplatform.Error{Fault: paplatform.Unavailable, Key: key}
	}
	return s.Store.CompareAndSwap(ctx, key, r, data, l)
}

// rollInput and rollOutput are the input and output of a command in a history. A command that failed without
// effect is not in the history.
type rollInput struct {
	id     string
	digest pabundle.Digest
	after  pabundle.Sequence
}

type rollOutput struct {
	outcome  Outcome
	sequence pabundle.Sequence
}

// oracle is the sequential model of a deployment: the expected state if each command takes effect at once.
type oracle struct {
	sequence pabundle.Sequence
	digest   pabundle.Digest
	won      string
}

func (o oracle) next(in rollInput) oracle {
	s := in.after + 1
	return oracle{s, in.digest, o.won + entry(in.id, s)}
}

func entry(id string, s pabundle.Sequence) string { return fmt.Sprintf("%s=%d;", id, s) }

func (o oracle) step(in rollInput, out rollOutput) []any {
	known := strings.Contains(o.won, in.id+"=")
	free := !known && o.sequence == in.after
	allowed := false
	switch out.outcome {
	case Won:
		if free && out.sequence == in.after+1 {
			return []any{o.next(in)}
		}
		allowed = strings.Contains(o.won, entry(in.id, out.sequence))
	case Lost:
		allowed = !known && o.sequence != in.after
	case AlreadyInForce:
		allowed = o.digest == in.digest
	case Unresolved:
		if free {
			return []any{o, o.next(in)}
		}
		allowed = true
	}
	if allowed {
		return []any{o}
	}
	return nil
}

var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{oracle{}} },
	Step: func(state, in, out any) []any { return state.(oracle).step(in.(rollInput), out.(rollOutput)) },
}

// runRace runs one race of three operators, one of them in two terminals, and returns the history of commands
// and all heads that were written.
func runRace(t *testing.T, seed uint64) ([]porcupine.Operation, []pabundle.Head) {
	d := newTestStore()
	s := &schedule{random: rand.New(rand.NewPCG(seed, 0)), arrive: make(chan pendingCall), done: make(chan struct{})}
	var history []porcupine.Operation
	var heads []pabundle.Head
	var operators []func()
	for client, name := range []string{"ana", "beso", "carla", "ana"} {
		v, err := d.operator("proposer").Propose(context.Background(), smallBundle(name))
		if err != nil {
			t.Fatal(err)
		}
		o := d.operator(name)
		_, _ = o.Review(context.Background(), v.Digest, "")
		_, _ = o.SignOff(context.Background(), v.Digest)
		o.Store = scheduledStore{o.Store, s, client}
		do := func(command func(context.Context, Request) (Result, error), q Request) Result {
			call := s.steps
			r, err := command(context.Background(), q)
			if err != nil {
				return Result{}
			}
			p := porcupine.Operation{ClientId: client, Call: call, Return: s.steps}
			after := r.Head.Sequence - 1
			p.Input, p.Output = rollInput{r.Head.RollID, r.Head.Digest, after}, rollOutput{r.Outcome, r.Head.Sequence}
			if r.Outcome == Unresolved {
				p.Return = math.MaxInt64
			}
			history = append(history, p)
			return r
		}
		operators = append(operators, func() {
			r := do(o.RollOut, Request{Digest: v.Digest})
			for n := 0; n < 3 && r.Outcome != Won; n++ {
				if r.Outcome == Lost {
					_, _ = o.SignOff(context.Background(), v.Digest)
				}
				r = do(o.RollOut, Request{Digest: v.Digest})
			}
			if client == 0 {
				do(o.RollBack, Request{Digest: v.Digest})
			}
		})
	}
	s.run(operators, func() {
		h, _, _ := d.operator("").head(context.Background())
		if n := len(heads); h.Sequence > 0 && (n == 0 || !reflect.DeepEqual(heads[n-1], h)) {
			heads = append(heads, h)
		}
	})
	return history, heads
}

// Operators race to roll out bundles that were signed off on top of the same head. Replies are lost, and
// writes without a reply take effect late, even after the command ended. Two commands must never write
// the same sequence, and a command must not report Lost if its bundle came into force: operators would not
// know which bundle is in force.
func TestRacingOperatorsHaveOneWinnerForEachSequence(t *testing.T) {
	outcomes := map[Outcome]int{}
	for seed := range uint64(1000) {
		history, heads := runRace(t, seed)
		winners := map[pabundle.Sequence]string{}
		for i, h := range heads {
			if h.Sequence != pabundle.Sequence(i+1) {
				t.Fatalf("seed %d: head %d has sequence %d", seed, i+1, h.Sequence)
			}
			winners[h.Sequence] = h.RollID
		}
		for _, p := range history {
			in, out := p.Input.(rollInput), p.Output.(rollOutput)
			outcomes[out.outcome]++
			if out.outcome == Won && winners[out.sequence] != in.id {
				t.Fatalf("seed %d: %s was told that it won sequence %d, which %s wrote", seed, in.id, out.sequence, winners[out.sequence])
			}
		}
		if !porcupine.CheckOperations(model.ToModel(), history) {
			t.Fatalf("seed %d: not linearizable: %+v", seed, history)
		}
	}
	t.Logf("outcomes of 1000 races: %v", outcomes)
	for _, o := range []Outcome{Won, Lost, Unresolved} {
		if outcomes[o] == 0 {
			t.Errorf("no race ended with outcome %s, so it was not tested", o)
		}
	}
}
