package paretry

const (
	// RatioIdle is the share of first attempts that may be tried again at no load. Load: one target
	// of a dozen fails. Harm of less: its callers see the failure; of more: none while slots are free.
	RatioIdle = 0.2
	// RatioSaturated is the share at saturation. Harm prevented: extra attempts take slots from
	// first ones exactly when there are none to spare.
	RatioSaturated = 0.02
	// Burst is the most tokens that are kept: the in-flight work of one target with three slots may
	// be tried again at once when the target dies.
	Burst = 3
)

// Budget is the retry budget of one service. The zero value starts empty and ready.
type Budget struct {
	tokens float64
}

// Deposit counts a first attempt at a load from 0 (idle) to 1 (saturated) and above.
func (b *Budget) Deposit(load float64) {
	b.tokens = min(Burst, b.tokens+Ratio(load))
}

// TryWithdraw spends a token for one more attempt, and says whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Ratio returns the share of first attempts that may be tried again at a load.
func Ratio(load float64) float64 {
	l := min(1, max(0, load))
	return RatioIdle + (RatioSaturated-RatioIdle)*l
}

// CanRetry says whether a request may be attempted again at all: only when a second run does no harm,
// or when there was no first one.
func CanRetry(idempotent, notRun bool) bool { return idempotent || notRun }
