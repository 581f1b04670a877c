package pabuffer

import "testing"

// Guards against ordinary requests that are refused while a crowd has used up the room for long heads, and against bytes that are lost
// from the account.
func TestOrdinaryClaimsFindRoomBesideLongOnes(t *testing.T) {
	b := &Budget{}
	b.SetMemory(16)
	var crowd []*Claim
	for {
		c := &Claim{Budget: b}
		crowd = append(crowd, c)
		if !c.GrowTo(Heads, 1<<20) {
			break
		}
	}
	if len(crowd) < 2 || b.HeldFor(Heads) < 1<<20 {
		t.Fatalf("%d long heads, %d bytes", len(crowd), b.HeldFor(Heads))
	}
	for range 32 {
		c := &Claim{Budget: b}
		crowd = append(crowd, c)
		for _, n := range []int64{100, 5000, firstBytes} {
			if !c.GrowTo(Heads, n) {
				t.Fatalf("no room for %d bytes of an ordinary head: %d held of %d", n, b.Held(), b.Limit())
			}
		}
		if c.GrowTo(Heads, 1<<20) {
			t.Fatal("a further long head finds room")
		}
	}
	if b.Held() > b.Limit() || b.Refused() == 0 {
		t.Errorf("%d held of %d, %d refused", b.Held(), b.Limit(), b.Refused())
	}
	for _, c := range crowd {
		c.Release()
		c.Release()
	}
	for p := range parts {
		if held := b.HeldFor(p); held != 0 {
			t.Errorf("part %d: %d bytes are held after the end", p, held)
		}
	}
	if b.Held() != 0 {
		t.Errorf("%d bytes are held after the end", b.Held())
	}
}

// The runtime is told of what the system may hold once that has changed by much, and not each time.
func TestOnReceivedIsCalledNowAndThen(t *testing.T) {
	var told []int64
	b := &Budget{OnReceived: func(n int64) { told = append(told, n) }}
	b.SetMemory(64)
	for range 1000 {
		b.Take(Received, 16<<10)
	}
	for range 1000 {
		b.PutBack(Received, 16<<10)
	}
	if len(told) < 4 || len(told) > 40 || told[len(told)-1] > b.Limit()/noteReceivedDivisor {
		t.Errorf("told %d times: %v", len(told), told)
	}
}
