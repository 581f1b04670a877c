package pascenario

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"papayahead/pastand"
)

// Expect checks one condition on a report: FIGURE, an operator (= <= >= < >) and a value. Figures
// are the counts of pastand.Figures, as they are or with % of those offered; P50, P90, P99, P999 and
// Max of answers, RefusalP99 of refusals; and Duplicates, FalseNotRun, AfterDrain and Executions of
// the oracle. A figure after "SERVICE." is that service's.
func Expect(r pastand.Report, condition string) error {
	i := strings.IndexAny(condition, "<>=")
	if i <= 0 {
		return trace.BadParameter("condition %q: want FIGURE OPERATOR VALUE without spaces", condition)
	}
	name, rest := condition[:i], condition[i:]
	operator := strings.TrimRight(rest[:min(2, len(rest))], "0123456789.-")
	value := rest[len(operator):]
	got, err := figure(r, name, strings.HasSuffix(value, "%"))
	if err != nil {
		return err
	}
	want, err := number(value)
	if err != nil {
		return trace.BadParameter("condition %q: %v", condition, err)
	}
	if !holds(got, operator, want) {
		return trace.CompareFailed("%s: got %s = %g", condition, name, got)
	}
	return nil
}

// number reads a count, a percentage or a duration; a duration is in seconds then.
func number(text string) (float64, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return d.Seconds(), nil
	}
	return strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
}

func holds(got float64, operator string, want float64) bool {
	switch operator {
	case "=":
		return got == want
	case "<=":
		return got <= want
	case ">=":
		return got >= want
	case "<":
		return got < want
	case ">":
		return got > want
	default:
		return false
	}
}

func figure(r pastand.Report, name string, percent bool) (float64, error) {
	if r.Oracle == nil {
		return 0, trace.NotFound("the report has no oracle: the targets' logs were not read")
	}
	if n, ok := map[string]int{
		"Duplicates": r.Oracle.Duplicates, "FalseNotRun": r.Oracle.FalseNotRun,
		"AfterDrain": r.Oracle.AfterDrain, "Executions": r.Oracle.Executions,
	}[name]; ok {
		return float64(n), nil
	}
	f := r.Total
	if service, rest, ok := strings.Cut(name, "."); ok {
		if f, ok = r.Services[service]; !ok {
			return 0, trace.NotFound("no service %q in the report", service)
		}
		name = rest
	}
	if d, ok := map[string]time.Duration{
		"P50": f.Latency.P50.Duration, "P90": f.Latency.P90.Duration, "P99": f.Latency.P99.Duration,
		"P999": f.Latency.P999.Duration, "Max": f.Latency.Max.Duration, "RefusalP99": f.Refusal.P99.Duration,
	}[name]; ok {
		return d.Seconds(), nil
	}
	n, ok := map[string]int64{
		"Offered": f.Offered, "Answered": f.Answered, "Late": f.Late, "Refused": f.Refused, "Unknown": f.Unknown,
		"Lost": f.Lost, "CutOff": f.CutOff, "Wrong": f.Wrong, "Failed": f.Failed, "Repeated": f.Repeated,
	}[name]
	if !ok {
		return 0, trace.NotFound("no figure %q", name)
	}
	if percent {
		return 100 * float64(n) / float64(max(1, f.Offered)), nil
	}
	return float64(n), nil
}

// faultsOf reads the words for a target's faults.
func faultsOf(words []string) (pastand.Faults, error) {
	var f pastand.Faults
	for _, x := range words {
		switch x {
		case "drain":
			f.Drain = true
		case "lie":
			f.LieHealthy = true
		case "silent":
			f.Silent = true
		case "slow":
			f.Slow = slowFactor
		case "failing":
			f.FastFail = true
		case "closing":
			f.CloseMidBody = true
		case "dropping":
			f.DropAfterRun = true
		case "late":
			f.AnswerLate = true
		case "heal":
		default:
			return f, trace.BadParameter("fault %q: want drain, lie, silent, slow, failing, closing, dropping, late or heal", x)
		}
	}
	return f, nil
}

// slowFactor is how much slower a slow target is.
const slowFactor = 20
