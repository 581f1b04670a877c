package pascenario

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// nets tells the Worlds of one process apart.
var nets atomic.Uint32

// firstNet and netCount bound the second byte of the addresses, and netStride is how far apart two
// processes with neighbouring identifiers begin: a prime, so that runs side by side seldom try the
// same networks.
const (
	firstNet  = 20
	netCount  = 200
	netStride = 37
)

// reserveNet finds a network that nobody uses and holds it with a listener until the script ends.
// Without it two runs side by side would share a network: the later one's platform could not listen,
// and its operator would meet the other run's versions.
func reserveNet(wanted byte) (byte, net.Listener, error) {
	first := uint32(os.Getpid())*netStride + nets.Add(1)
	if wanted >= firstNet {
		first = uint32(wanted - firstNet)
	}
	for i := range uint32(netCount) {
		n := byte(firstNet + (first+i)%netCount)
		l, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n, platformNet, 3}), reservedPort).String())
		if err == nil {
			return n, l, nil
		}
	}
	return 0, nil, trace.LimitExceeded("all %d networks of loopback are in use", netCount)
}
