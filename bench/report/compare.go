package report

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// measure is one row of the comparison.
type measure struct {
	name  string
	value func(*Report) float64
}

var measures = []measure{
	{"requests", func(r *Report) float64 { return float64(r.Requests) }},
	{"ok", func(r *Report) float64 { return float64(r.OK) }},
	{"not run", func(r *Report) float64 { return float64(r.NotRun) }},
	{"unknown", func(r *Report) float64 { return float64(r.Unknown) }},
	{"added load, percent", func(r *Report) float64 { return r.AddedLoadPercent }},
	{"imbalance, max over mean", func(r *Report) float64 { return r.Imbalance.MaxOverMean }},
	{"imbalance, cv", func(r *Report) float64 { return r.Imbalance.CV }},
	{"ownership moves", func(r *Report) float64 { return float64(r.Churn.Moves) }},
	{"unavailable, key seconds", func(r *Report) float64 { return r.Unavailable.KeySeconds }},
	{"longest gap, ms", func(r *Report) float64 { return r.Unavailable.LongestGapMs }},
	{"new owner p50, ms", func(r *Report) float64 { return r.Unavailable.NewOwnerMsP50 }},
	{"new owner max, ms", func(r *Report) float64 { return r.Unavailable.NewOwnerMsMax }},
	{"latency p50, us", func(r *Report) float64 { return float64(r.Latency.P50) }},
	{"latency p99, us", func(r *Report) float64 { return float64(r.Latency.P99) }},
	{"latency p99 over direct", func(r *Report) float64 { return ratio(float64(r.ComparedLatency.P99), float64(r.BaselineLatency.P99)) }},
	{"config in force p50, ms", func(r *Report) float64 { return r.Config.InForceMsP50 }},
	{"config in force max, ms", func(r *Report) float64 { return r.Config.InForceMsMax }},
}

func ratio(after, before float64) float64 {
	if before == 0 {
		return 0
	}
	return after / before
}

// Compare returns a table of both reports with the ratio of the second to the first.
func Compare(before, after *Report) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintf(writer, "MEASURE\t%s\t%s\tRATIO\n", title(before), title(after))
	for _, row := range measures {
		first, second := row.value(before), row.value(after)
		shown := "-"
		if first != 0 {
			shown = fmt.Sprintf("%.2f", second/first)
		}
		fmt.Fprintf(writer, "%s\t%.2f\t%.2f\t%s\n", row.name, first, second, shown)
	}
	_ = writer.Flush()
	return text.String()
}

func title(r *Report) string {
	name := r.Baseline
	if name == "" {
		name = "limehold"
	}
	return fmt.Sprintf("%s (%s, seed %d)", name, r.Shape, r.Seed)
}
