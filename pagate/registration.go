package pagate

import (
	"context"
	"time"

	"papayahead/paevent"
	"papayahead/paplatform"
)

const (
	// registrationTTL is how long a registration outlives its entry VM; look-ups must not name a dead entry VM
	// for more than 7 s.
	registrationTTL = 5 * time.Second
	// registrationRenewInterval is the time between renewals of the lease, so that two in a row may fail.
	registrationRenewInterval = 1700 * time.Millisecond
)

// keepRegistered keeps this entry VM registered in the store until it shuts down, and then revokes the lease.
func (g *Gate) keepRegistered(ctx context.Context) {
	var lease paplatform.LeaseID
	written := false
	ttl := max(registrationTTL, g.config.Settings.MinLeaseTTL)
	for ctx.Err() == nil && !g.shuttingDown.Load() {
		var err error
		switch {
		case lease == "":
			lease, err = g.grantLease(ctx, ttl)
			written = false
			if err == nil {
				continue
			}
		case !written:
			err = g.storeCall(ctx, "Announce", func(ctx context.Context) error { return g.config.Registry.Register(ctx, g.self, lease) })
			written = err == nil
		default:
			err = g.storeCall(ctx, "Renew", func(ctx context.Context) error { return g.config.Registry.RenewLease(ctx, lease) })
		}
		if paplatform.FaultOf(err) == paplatform.LeaseLapsed {
			lease = ""
			continue
		}
		select {
		case <-g.config.Clock.After(registrationRenewInterval):
		case <-g.reregister:
			if written && !g.sleep(ctx, minReadInterval) {
				return
			}
			written = false
		case <-ctx.Done():
		}
	}
	if lease != "" && g.shuttingDown.Load() {
		if err := g.storeCall(ctx, "End", func(ctx context.Context) error { return g.config.Registry.RevokeLease(ctx, lease) }); err != nil {
			g.record(paevent.StoreUnreachable{Reason: err.Error()})
		}
	}
}

func (g *Gate) grantLease(ctx context.Context, ttl time.Duration) (lease paplatform.LeaseID, err error) {
	err = g.storeCall(ctx, "Lease", func(ctx context.Context) error {
		lease, err = g.config.Registry.GrantLease(ctx, ttl)
		return err
	})
	return lease, err
}

func (g *Gate) storeCall(ctx context.Context, name string, call func(ctx context.Context) error) error {
	g.meter.countStoreCall(name)
	ctx, cancel := g.withTimeout(ctx, storeTimeout)
	defer cancel()
	return call(ctx)
}

// requestRegistration has keepRegistered write the registration again, or end it at a shutdown.
func (g *Gate) requestRegistration() {
	select {
	case g.reregister <- struct{}{}:
	default:
	}
}
