package experiment

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"hawthornshore.example/structs"
)

const (
	// ratioUnit is the number of recorded units per ratio of 1.
	ratioUnit         = 1000
	maxRatio          = 1000 * ratioUnit
	significantDigits = 3
	// maxLatency is the upper bound of recorded latencies, in microseconds.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
)

// ClassResult holds the results of one class, for the jobs sent in the measurement
// window.
type ClassResult struct {
	Class    string                  `json:"class"`
	Rank     int                     `json:"rank"`
	Sent     int                     `json:"sent"`
	Outcomes map[structs.Outcome]int `json:"outcomes"`
	Reasons  map[structs.Reason]int  `json:"reasons"`
	Flooded  bool                    `json:"flooded"` // includes the jobs of an overload fault
	Ratio    *hdr.Histogram          `json:"-"`       // response time over ideal, in thousandths; complete jobs
	Response *hdr.Histogram          `json:"-"`       // response time in microseconds; complete jobs
	Refusal  *hdr.Histogram          `json:"-"`       // time to a not-run answer in microseconds
	Late     int                     `json:"late"`    // not complete, and answered after refusalTimeLimit
	Seconds  float64                 `json:"seconds"` // length of the measurement window
}

// Result holds the measurements of one run.
type Result struct {
	Scenario   string         `json:"scenario"`
	Workload   string         `json:"workload"`
	Policy     string         `json:"policy"`
	Seed       uint64         `json:"seed"`
	Load       float64        `json:"load"`
	Classes    []*ClassResult `json:"classes"` // by rank
	All        *ClassResult   `json:"all"`
	Messages   Messages       `json:"messages"` // over the whole run
	Ejections  int            `json:"ejections"`
	Violations []string       `json:"violations"` // of the delivery guarantees; must be empty
}

func newClassResult(class structs.Class, seconds float64) *ClassResult {
	return &ClassResult{
		Class: class.Name, Rank: class.Rank, Seconds: seconds,
		Outcomes: make(map[structs.Outcome]int), Reasons: make(map[structs.Reason]int),
		Ratio: hdr.New(1, maxRatio, significantDigits), Response: hdr.New(1, maxLatency, significantDigits), Refusal: hdr.New(1, maxLatency, significantDigits),
	}
}

func newResult(s *Scenario) *Result {
	seconds := s.Measure.Seconds()
	res := &Result{
		Scenario: s.Name, Workload: s.Workload.Name, Policy: string(s.Policy), Seed: s.Seed, Load: s.Load,
		All: newClassResult(structs.Class{Name: "all"}, seconds),
	}
	for i := range s.Workload.Classes {
		c := newClassResult(s.Workload.Classes[i].Class, seconds)
		for _, f := range s.Faults {
			c.Flooded = c.Flooded || f.Kind == FaultOverload && f.Class == i
		}
		res.Classes = append(res.Classes, c)
	}
	return res
}

// record counts the answer of a job, which reached the caller after the given
// time.
func (res *Result) record(j *trackedJob, a *structs.Answer, elapsed time.Duration) {
	if !j.measured {
		return
	}
	res.Classes[j.class].record(j, a, elapsed)
	res.All.record(j, a, elapsed)
}

func (c *ClassResult) record(j *trackedJob, a *structs.Answer, elapsed time.Duration) {
	c.Sent++
	c.Outcomes[a.Outcome]++
	if a.Reason != "" {
		c.Reasons[a.Reason]++
	}
	us := min(elapsed.Microseconds(), maxLatency)
	switch {
	case a.Outcome == structs.OutcomeComplete:
		ratio := int64(float64(elapsed) / float64(j.idealTime) * ratioUnit)
		_ = c.Ratio.RecordValue(min(ratio, maxRatio)) // bounded by the histogram's range
		_ = c.Response.RecordValue(us)
		return
	case a.Outcome == structs.OutcomeNotRun:
		_ = c.Refusal.RecordValue(us)
	}
	if elapsed > refusalTimeLimit {
		c.Late++
	}
}

// recordUnanswered records a violation for each job without an answer.
func (res *Result) recordUnanswered(r *run) {
	for id, j := range r.jobs {
		if !j.answered {
			res.Violations = append(res.Violations, "no answer for "+id.String())
		}
	}
}

// RatioQuantile returns a quantile, in percent, of response time over ideal.
func (c *ClassResult) RatioQuantile(q float64) float64 {
	return float64(c.Ratio.ValueAtQuantile(q)) / ratioUnit
}

// ResponseQuantile returns a quantile, in percent, of the response time.
func (c *ClassResult) ResponseQuantile(q float64) time.Duration {
	return time.Duration(c.Response.ValueAtQuantile(q)) * time.Microsecond
}

// RefusalQuantile returns a quantile, in percent, of the time to a not-run answer.
func (c *ClassResult) RefusalQuantile(q float64) time.Duration {
	return time.Duration(c.Refusal.ValueAtQuantile(q)) * time.Microsecond
}

// CompletedFraction returns the fraction of the sent jobs that completed.
func (c *ClassResult) CompletedFraction() float64 {
	if c.Sent == 0 {
		return 0
	}
	return float64(c.Outcomes[structs.OutcomeComplete]) / float64(c.Sent)
}

// Throughput returns the completed jobs per second.
func (c *ClassResult) Throughput() float64 {
	return float64(c.Outcomes[structs.OutcomeComplete]) / c.Seconds
}
