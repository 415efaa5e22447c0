package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/structs"
	"hawthornshore.example/targetapi"
)

// announceTimeout bounds one announcement, so that an unresponsive entry instance
// leaves time to reach another one before TargetTimeout.
const announceTimeout = 400 * time.Millisecond

// announcer sends the target's announcement periodically. It uses one entry
// instance until that fails, then the next.
type announcer struct {
	target    *Target
	client    *http.Client
	nextEntry int // index of the entry instance to use
}

func newAnnouncer(target *Target) *announcer {
	return &announcer{
		target: target,
		client: &http.Client{Transport: &http.Transport{}, Timeout: announceTimeout},
	}
}

// run announces the target at every interval and whenever its state changes,
// until the context ends.
func (a *announcer) run(ctx context.Context) {
	if len(a.target.options.Entries) == 0 {
		return
	}
	ticker := time.NewTicker(structs.TargetHeartbeatInterval)
	defer ticker.Stop()
	defer a.client.CloseIdleConnections()
	for {
		if a.target.unpaused.wait(ctx) == nil {
			a.announce(ctx)
			a.target.pruneAttempts(time.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.target.stateChanged:
		}
	}
}

// announce tries each entry instance at most once.
func (a *announcer) announce(ctx context.Context) {
	entries := a.target.options.Entries
	for range entries {
		entry := entries[a.nextEntry%len(entries)]
		err := a.post(ctx, entry)
		if err == nil || ctx.Err() != nil {
			return
		}
		a.target.log.Warn().Str("event", "announce_failed").Str("entry", entry).Err(err).Send()
		a.nextEntry++
	}
}

func (a *announcer) post(ctx context.Context, entry string) error {
	body, err := json.Marshal(a.target.Announcement())
	if err != nil {
		return errors.Trace(err)
	}
	url := "http://" + entry + targetapi.PathTargets
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, targetapi.MaxReportBytes))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
