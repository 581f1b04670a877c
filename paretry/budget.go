package paretry

const (
	// RatioIdle is the ratio of retries to first attempts without load. It covers the failure of one target of a dozen:
	// with less, clients would see the failure; more does no harm while slots are free.
	RatioIdle = 0.2
	// RatioSaturated is the ratio at saturation. It is low because no slots are free then, and further attempts take
	// them from first attempts.
	RatioSaturated = 0.02
	// Burst is the maximum number of tokens: all requests in flight on a target with three slots can be retried at once
	// when the target fails.
	Burst = 3
)

// Budget is the retry budget of one service. The zero value is empty and ready to use.
type Budget struct {
	tokens float64
}

// Deposit counts a first attempt and adds Ratio(load) tokens, up to Burst.
func (b *Budget) Deposit(load float64) {
	b.tokens = min(Burst, b.tokens+Ratio(load))
}

// TryWithdraw spends a token for a further attempt and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Ratio returns the permitted ratio of retries to first attempts at a load from 0 (idle) to 1 (saturated) and above.
func Ratio(load float64) float64 {
	l := min(1, max(0, load))
	return RatioIdle + (RatioSaturated-RatioIdle)*l
}

// CanRetry reports whether a request may be attempted again: if it is idempotent, or if the first attempt didn't run.
func CanRetry(idempotent, notRun bool) bool { return idempotent || notRun }
