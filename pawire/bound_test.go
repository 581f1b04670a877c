package pawire

import (
	"errors"
	"io"
	"net"
	"testing"

	"storj.io/drpc/drpcwire"

	"papayahead/pabuffer"
)

// Guards against a message whose bytes are lost from the account, or stay in it once it is whole.
func TestFramesAreCounted(t *testing.T) {
	var sent []byte
	want := 0
	for i, frame := range []drpcwire.Frame{
		{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true, Data: []byte("/Service/Call")},
		{ID: drpcwire.ID{Stream: 300, Message: 2}, Kind: drpcwire.KindMessage, Data: make([]byte, 200)},
		{ID: drpcwire.ID{Stream: 300, Message: 2}, Kind: drpcwire.KindMessage, Done: true},
		{ID: drpcwire.ID{Stream: 300, Message: 3}, Kind: drpcwire.KindMessage, Data: make([]byte, 70000)},
	} {
		before := len(sent)
		sent = drpcwire.AppendFrame(sent, frame)
		if want += len(sent) - before; frame.Done {
			want = 0
		}
		for _, piece := range []int{1, 7, len(sent)} {
			var f frameCounter
			for at := 0; at < len(sent); at += piece {
				f.count(sent[at:min(len(sent), at+piece)])
			}
			if f.held != want {
				t.Errorf("%d frames by %d bytes: %d held, want %d", i+1, piece, f.held, want)
			}
		}
	}
}

// Guards against neighbours, or whoever reaches their port, that fill the memory with messages without end.
func TestConnectionsWithoutRoomAreClosed(t *testing.T) {
	base, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	budget := &pabuffer.Budget{}
	budget.SetMemory(2)
	l := NewBoundListener(base, budget)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go func() {
		frame := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Data: make([]byte, 1<<20)})
		_, _ = c.Write(frame)
	}()
	served, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, served); !errors.Is(err, errNoRoom) || n == 0 || n > 1<<20/4 {
		t.Errorf("%d bytes were read, %v", n, err)
	}
	if budget.Held() != 0 {
		t.Errorf("%d bytes are held", budget.Held())
	}
}
