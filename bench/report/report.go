// Package report defines the result of a run: violations of guarantees and
// measurements. A report file holds one JSON object.
package report

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
)

// Violations counts the violated guarantees by kind. All counts are 0 in a correct run.
type Violations struct {
	OverlappingOwners   int `json:"overlapping_owners"`
	ExecutedTwice       int `json:"executed_twice"`
	ExecutedButNotRun   int `json:"executed_but_not_run"`
	CrossedOrPartial    int `json:"crossed_or_partial_answers"`
	LostAcknowledged    int `json:"lost_acknowledged"`
	ConfigReverted      int `json:"config_reverted"`
	WorkAfterDrain      int `json:"work_after_drain"`
	CutByPlannedStop    int `json:"cut_by_planned_stop"`
	AnsweredButNotRun   int `json:"answered_but_not_executed"`
	ConfigNotInForce    int `json:"config_not_in_force"`
	RacesWonTwice       int `json:"races_won_twice"`
	RefusedWithNoAdvice int `json:"refused_without_retry_after"`
	CrashingSentOn      int `json:"deadly_requests_sent_on"`
	OthersQuarantined   int `json:"others_quarantined"`
}

// Counts returns the counts with their names, in a fixed order.
func (v *Violations) Counts() []Count {
	return []Count{
		{"overlapping_owners", v.OverlappingOwners},
		{"executed_twice", v.ExecutedTwice},
		{"executed_but_not_run", v.ExecutedButNotRun},
		{"crossed_or_partial_answers", v.CrossedOrPartial},
		{"lost_acknowledged", v.LostAcknowledged},
		{"config_reverted", v.ConfigReverted},
		{"work_after_drain", v.WorkAfterDrain},
		{"cut_by_planned_stop", v.CutByPlannedStop},
		{"answered_but_not_executed", v.AnsweredButNotRun},
		{"config_not_in_force", v.ConfigNotInForce},
		{"races_won_twice", v.RacesWonTwice},
		{"refused_without_retry_after", v.RefusedWithNoAdvice},
		{"deadly_requests_sent_on", v.CrashingSentOn},
		{"others_quarantined", v.OthersQuarantined},
	}
}

// Count pairs the name of a counter in the report file with its value.
type Count struct {
	Name  string
	Value int
}

// Fault describes one injected fault.
type Fault struct {
	Kind       string  `json:"kind"`
	Target     string  `json:"target"`
	AtS        float64 `json:"at_s"`
	UntilS     float64 `json:"until_s"`
	TookEffect bool    `json:"took_effect"`
	// Planned reports whether the fault is a planned stop or change, which must not cut any request.
	Planned bool   `json:"planned,omitempty"`
	Error   string `json:"error,omitempty"`
}

// Crashes counts the crashes of back ends under crashing requests.
type Crashes struct {
	// Total counts the crashes, Late those after the bound by which all routers
	// must have known the request.
	Total int `json:"ends"`
	Late  int `json:"ends_late"`
}

// Imbalance is the imbalance of work over the instances of a pool, sampled every second.
type Imbalance struct {
	MaxOverMean float64 `json:"max_over_mean"`
	CV          float64 `json:"cv"`
}

// Churn counts moves of ownership.
type Churn struct {
	Moves            int     `json:"moves"`
	MovesPerKeyHour  float64 `json:"moves_per_key_hour"`
	MovesAfterFaults int     `json:"moves_forced_by_losses"`
}

// Unavailable measures the time during which keys had no owner.
type Unavailable struct {
	KeySeconds    float64 `json:"key_seconds"`
	LongestGapMs  float64 `json:"longest_gap_ms"`
	NewOwnerMsP50 float64 `json:"new_owner_ms_p50"`
	NewOwnerMsMax float64 `json:"new_owner_ms_max"`
	// Losses is the number of times that a shard lost its owner.
	Losses int `json:"losses"`
}

// Latency holds latency quantiles in microseconds.
type Latency struct {
	P50  int64 `json:"p50"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
}

// Config measures how fast configuration changes came into force.
type Config struct {
	Accepted     int     `json:"accepted"`
	Conflicts    int     `json:"conflicts"`
	InForceMsP50 float64 `json:"in_force_ms_p50"`
	InForceMsMax float64 `json:"in_force_ms_max"`
}

// Process is the total resource usage of the processes of one role.
type Process struct {
	Role          string  `json:"role"`
	Count         int     `json:"count"`
	CPUSeconds    float64 `json:"cpu_s"`
	PeakRSSMB     float64 `json:"peak_rss_mb"`
	SentBytes     int64   `json:"sent_bytes"`
	ReceivedBytes int64   `json:"received_bytes"`
}

// Report is the result of one run.
type Report struct {
	Shape     string  `json:"shape"`
	Seed      uint64  `json:"seed"`
	DurationS float64 `json:"duration_s"`
	Rate      float64 `json:"rate"`
	Baseline  string  `json:"baseline"`
	Version   string  `json:"version"`
	FaultsSet string  `json:"faults_set"`

	Requests        int            `json:"requests"`
	OK              int            `json:"ok"`
	NotRun          int            `json:"not_run"`
	Unknown         int            `json:"unknown"`
	Cut             int            `json:"cut"`
	NoAnswer        int            `json:"no_answer"`
	Failed          int            `json:"failed_by_back_end"`
	RefusedByReason map[string]int `json:"refused_by_reason"`
	Executions      int            `json:"executions"`
	Grants          int            `json:"grants"`
	// AddedLoadPercent is the number of executions beyond the first of each request, in
	// percent of all requests.
	AddedLoadPercent float64 `json:"added_load_percent"`

	Violations Violations `json:"violations"`
	Crashes    Crashes    `json:"deadly"`
	// Evidence describes the first violations.
	Evidence []string `json:"evidence,omitempty"`
	Faults   []Fault  `json:"faults"`

	Imbalance       Imbalance            `json:"imbalance"`
	ImbalanceByPool map[string]Imbalance `json:"imbalance_by_pool"`
	Churn           Churn                `json:"churn"`
	Unavailable     Unavailable          `json:"unavailable"`
	Latency         Latency              `json:"latency_us"`
	// ComparedStream is the stream that was sent both through limehold (ComparedLatency)
	// and directly to its back ends (BaselineLatency) in the same run.
	ComparedStream  string    `json:"compared_stream"`
	ComparedLatency Latency   `json:"compared_latency_us"`
	BaselineLatency Latency   `json:"baseline_latency_us"`
	Config          Config    `json:"config"`
	Processes       []Process `json:"processes"`
}

// Check returns one line for each kind of violation, for each fault without effect,
// and for each reason why the run verified nothing. It returns nil for a correct run.
func (r *Report) Check() []string {
	var failures []string
	for _, count := range r.Violations.Counts() {
		if count.Value > 0 {
			failures = append(failures, fmt.Sprintf("%s: %d", count.Name, count.Value))
		}
	}
	for _, required := range []Count{{"requests", r.Requests}, {"ok", r.OK}, {"executions", r.Executions}, {"grants", r.Grants}} {
		if required.Value == 0 {
			failures = append(failures, "the run checked nothing: no "+required.Name)
		}
	}
	effective := 0
	for _, fault := range r.Faults {
		if fault.TookEffect {
			effective++
		} else {
			failures = append(failures, fmt.Sprintf("fault %s of %s took no effect: %s", fault.Kind, fault.Target, fault.Error))
		}
	}
	if r.FaultsSet != FaultsNone && effective == 0 {
		failures = append(failures, "the run checked nothing: no fault took effect")
	}
	return failures
}

// FaultsNone is the name of the empty schedule.
const FaultsNone = "none"

// Write writes value to a file as indented JSON.
func Write(path string, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	const mode = 0o644
	return eris.Wrapf(os.WriteFile(path, append(encoded, '\n'), mode), "write report %s", path)
}

// Read reads a report from a file.
func Read(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read report %s", path)
	}
	loaded := &Report{}
	if err := json.Unmarshal(text, loaded); err != nil {
		return nil, eris.Wrapf(err, "report %s is not a JSON object of limebench", path)
	}
	return loaded, nil
}
