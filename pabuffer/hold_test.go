package pabuffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func testBudget() *Budget {
	b := &Budget{}
	b.SetMemory(1)
	return b
}

// Guards against bodies that are held without being counted, or counted after they are gone.
func TestHoldCountsWhatIsHeld(t *testing.T) {
	for _, n := range []int{0, 1, minBuffer - 1, minBuffer, minBuffer + 1, 20000, 30000, 30001} {
		b := testBudget()
		h := Hold{Budget: b}
		body := bytes.Repeat([]byte("x"), n)
		got, err := h.Read(iotest.HalfReader(bytes.NewReader(body)), 30000)
		if err != nil || !bytes.Equal(got, body) {
			t.Errorf("%d bytes: %d read, %v", n, len(got), err)
		}
		if held := b.Held(); held != int64(cap(got)) || held > 30001 {
			t.Errorf("%d bytes: %d held in a buffer of %d", n, held, cap(got))
		}
		h.Release()
		h.Release()
		if b.Held() != 0 {
			t.Errorf("%d bytes: %d held after the release", n, b.Held())
		}
	}
}

// Guards against a body that loses bytes, or looks complete, when the budget is used up in the middle of it.
func TestBodyGoesOnWhereTheBudgetEnds(t *testing.T) {
	b := testBudget()
	body := strings.Repeat("0123456789", 30000)
	h, r := Hold{Budget: b}, strings.NewReader(body)
	got, err := h.Read(r, len(body))
	if !errors.Is(err, ErrUsedUp) || len(got) == 0 || b.Held() > b.Limit() {
		t.Fatalf("%d of %d bytes read, %d held, %v", len(got), len(body), b.Held(), err)
	}
	rest, err := io.ReadAll(r)
	if err != nil || string(got)+string(rest) != body {
		t.Errorf("%d and %d bytes are not the body: %v", len(got), len(rest), err)
	}
}

// Guards against urgent requests that are refused while less urgent ones hold the memory.
func TestUrgentBodiesFindRoomLongest(t *testing.T) {
	b := testBudget()
	var last int64
	for _, priority := range []int{7, 2, 1, 0} {
		for (&Hold{Budget: b, Priority: priority}).take(1000) {
			continue
		}
		if b.Held() < last || b.Held() > b.Limit() || priority < 2 && b.Held() == last {
			t.Errorf("%d bytes held once priority %d finds no room, %d before", b.Held(), priority, last)
		}
		last = b.Held()
	}
	unbounded := Hold{Budget: &Budget{}, Priority: 2}
	if !unbounded.take(1<<30) || unbounded.Budget.IsBounded() {
		t.Error("a process without a memory limit has a bound")
	}
}
