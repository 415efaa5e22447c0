package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornshore.example/logging"
	"hawthornshore.example/platform"
)

const (
	// maxRequestLinesPerSecond bounds the log of requests: two lines per job at four
	// times the usual load of a gateway. Further lines are dropped.
	maxRequestLinesPerSecond = 300
	// maxStateLinesPerSecond bounds the other lines: the links of hundreds of machines
	// may end and begin within a second.
	maxStateLinesPerSecond = 500
	// memoryLimitShare is the soft memory limit of the Go runtime as a share of the
	// machine's memory.
	memoryLimitShare = 0.6
	// gcPercent lets the heap grow to three times the live heap.
	gcPercent = 200
)

// process is the state common to the gateway and coordinator commands.
type process struct {
	settings      platform.Settings
	logger        zerolog.Logger
	requestLogger zerolog.Logger // for lines whose number grows with the load
	logWriter     *logging.RateLimitedWriter
	stopLog       chan struct{}
	logDone       chan error

	writeClientMetrics func(io.Writer)
}

// startProcess reads the settings and prepares the runtime.
func startProcess(role string) (*process, error) {
	settings, err := platform.LoadSettings()
	if err != nil {
		return nil, err
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	p := &process{
		settings:  settings,
		logWriter: logging.NewRateLimitedWriter(os.Stdout),
		stopLog:   make(chan struct{}),
		logDone:   make(chan error, 1),
	}
	p.logger = p.logWriter.Logger(zerolog.InfoLevel, maxStateLinesPerSecond)
	p.requestLogger = p.logWriter.Logger(zerolog.InfoLevel, maxRequestLinesPerSecond)
	go func() { p.logDone <- p.logWriter.Run(p.stopLog) }()
	p.logger.Info().Str("event", "process_started").Str("role", role).Str("machine", settings.Machine).
		Str("data_centre", settings.DataCentre).Strs("seeds", settings.Seeds).Bool("first_start", settings.FirstStart).Send()
	return p, nil
}

// shutdown logs the stop and flushes the log.
func (p *process) shutdown(err error) error {
	p.logger.Info().Str("event", "process_stopped").Err(err).Send()
	close(p.stopLog)
	if logErr := <-p.logDone; err == nil {
		err = logErr
	}
	return err
}

// watchSettings calls onChange with the new settings after a SIGHUP and after a
// change of the file's modification time.
func (p *process) watchSettings(ctx context.Context, onChange func(platform.Settings)) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modified := modificationTime(p.settings.SettingsPath)
	for {
		select {
		case <-hangups:
		case <-ticker.C:
			now := modificationTime(p.settings.SettingsPath)
			if now.Equal(modified) {
				continue
			}
			modified = now
		case <-ctx.Done():
			return ctx.Err()
		}
		settings, err := platform.ReadSettings(p.settings.SettingsPath)
		if err != nil {
			p.logger.Error().Str("event", "settings_unreadable").Err(err).Send()
			continue
		}
		p.logger.Info().Str("event", "settings_reloaded").Strs("seeds", settings.Seeds).Send()
		onChange(settings)
	}
}

// settingsPollInterval is how often the settings file is checked for changes.
const settingsPollInterval = 2 * time.Second

func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// page is a further path of the metrics address, answered to GET.
type page struct {
	path   string
	handle http.HandlerFunc
}

// metricsServer returns the address and the server of the metrics.
func (p *process) metricsServer(pages ...page) (string, *http.Server) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.writeMetrics(w)
	})
	for _, page := range pages {
		mux.HandleFunc("GET "+page.path, page.handle)
	}
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.MetricsPort)), &http.Server{
		Handler: mux,
	}
}

func (p *process) writeMetrics(w io.Writer) {
	metrics.WritePrometheus(w, true)
	p.writeClientMetrics(w)
}
