package pagate

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"papayahead/paevent"
	"papayahead/pasocket"
	"papayahead/pawire"
)

// trafficLogInterval is the time between two log lines on control traffic.
const trafficLogInterval = 20 * time.Second

// controlTraffic counts the bytes of control connections that this entry VM opened, by purpose. Those that others
// opened are in the others' counts.
type controlTraffic struct {
	neighbours, limiter pasocket.Traffic
	// changes and notes are the payload bytes of neighbours' replies.
	changes, notes atomic.Uint64
}

func (g *Gate) dialCounted(ctx context.Context, to netip.AddrPort, t *pasocket.Traffic) (net.Conn, error) {
	c, err := g.config.Network.Dial(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return t.Wrap(c), nil
}

// exportTraffic adds the counts to the metrics.
func (g *Gate) exportTraffic() {
	for part, t := range map[string]*pasocket.Traffic{
		"Neighbours": &g.traffic.neighbours, "Limiter": &g.traffic.limiter, "Store": g.config.StoreTraffic,
	} {
		if t == nil {
			continue
		}
		for way, n := range map[string]*atomic.Uint64{"Sent": &t.Sent, "Received": &t.Received} {
			g.meter.set.NewGauge(`papayahead_gate_control_bytes{part="`+part+`",way="`+way+`"}`, func() float64 { return float64(n.Load()) })
		}
	}
	g.meter.set.NewGauge(`papayahead_gate_neighbour_payload_bytes{kind="Changes"}`, func() float64 { return float64(g.traffic.changes.Load()) })
	g.meter.set.NewGauge(`papayahead_gate_neighbour_payload_bytes{kind="Notes"}`, func() float64 { return float64(g.traffic.notes.Load()) })
}

// logTraffic logs the counts at each trafficLogInterval.
func (g *Gate) logTraffic(ctx context.Context) {
	for g.sleep(ctx, trafficLogInterval) {
		e := paevent.ControlTraffic{
			Neighbours: totalBytes(&g.traffic.neighbours), Limiter: totalBytes(&g.traffic.limiter),
			Changes: g.traffic.changes.Load(), Notes: g.traffic.notes.Load(),
		}
		if t := g.config.StoreTraffic; t != nil {
			e.Store = totalBytes(t)
		}
		g.record(e)
	}
}

func totalBytes(t *pasocket.Traffic) uint64 { return t.Sent.Load() + t.Received.Load() }

// notesSize returns the approximate encoded size of notes in bytes.
func notesSize(all []*pawire.WarmNote) uint64 {
	n := 0
	for _, w := range all {
		n += proto.Size(w)
	}
	return uint64(n)
}
