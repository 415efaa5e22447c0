package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// RunTime is a distribution of task run times.
type RunTime interface {
	Sample(random *rand.Rand) time.Duration
}

// Fixed gives every task the same run time.
type Fixed time.Duration

// Sample returns the fixed run time.
func (f Fixed) Sample(*rand.Rand) time.Duration { return time.Duration(f) }

// Uniform distributes run times uniformly between Min and Max.
type Uniform struct{ Min, Max time.Duration }

// Sample draws a run time.
func (u Uniform) Sample(random *rand.Rand) time.Duration {
	return u.Min + time.Duration(random.Float64()*float64(u.Max-u.Min))
}

// LogNormal distributes run times log-normally around Median; Sigma is the standard
// deviation of their logarithm. A Max above 0 caps the run times.
type LogNormal struct {
	Median time.Duration
	Sigma  float64
	Max    time.Duration
}

// Sample draws a run time.
func (l LogNormal) Sample(random *rand.Rand) time.Duration {
	d := time.Duration(float64(l.Median) * math.Exp(l.Sigma*random.NormFloat64()))
	if l.Max > 0 {
		d = min(d, l.Max)
	}
	return d
}

// ParseRunTime parses a distribution: "fixed:100ms", "uniform:50ms,1s",
// "lognormal:200ms,0.7" or "lognormal:200ms,0.7,5s".
func ParseRunTime(text string) (RunTime, error) {
	kind, list, _ := strings.Cut(text, ":")
	args := strings.Split(list, ",")
	switch {
	case kind == "fixed" && len(args) == 1:
		d, err := parsePositive(args[0])
		return Fixed(d), errors.Annotatef(err, "run time %q", text)
	case kind == "uniform" && len(args) == 2:
		return parseUniform(text, args)
	case kind == "lognormal" && (len(args) == 2 || len(args) == 3):
		return parseLogNormal(text, args)
	}
	return nil, errors.NotValidf("run time %q", text)
}

func parseUniform(text string, args []string) (RunTime, error) {
	low, err := parsePositive(args[0])
	if err != nil {
		return nil, errors.Annotatef(err, "run time %q", text)
	}
	high, err := parsePositive(args[1])
	if err != nil {
		return nil, errors.Annotatef(err, "run time %q", text)
	}
	if high < low {
		return nil, errors.NotValidf("run time %q: range", text)
	}
	return Uniform{Min: low, Max: high}, nil
}

func parseLogNormal(text string, args []string) (RunTime, error) {
	var l LogNormal
	var err error
	if l.Median, err = parsePositive(args[0]); err != nil {
		return nil, errors.Annotatef(err, "run time %q", text)
	}
	l.Sigma, err = strconv.ParseFloat(args[1], 64)
	if err != nil || !(l.Sigma >= 0) || math.IsInf(l.Sigma, 1) {
		return nil, errors.NotValidf("run time %q: sigma", text)
	}
	if len(args) == 2 {
		return l, nil
	}
	if l.Max, err = parsePositive(args[2]); err != nil {
		return nil, errors.Annotatef(err, "run time %q", text)
	}
	return l, nil
}

func parsePositive(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if d <= 0 {
		return 0, errors.NotValidf("duration %s", d)
	}
	return d, nil
}
