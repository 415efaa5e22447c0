package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/operatorapi"
	"hawthornshore.example/platform/standin"
)

// EvacuationBound is how long after its acknowledgement an evacuation order may be
// without effect.
const EvacuationBound = standin.EvacuationBound

const (
	orderTimeout = time.Second // after which an operator tries another coordinator
	orderPause   = 50 * time.Millisecond
)

// evacuationRecords are the times at which data centres were evacuated.
type evacuationRecords struct {
	mu      sync.Mutex
	periods []evacuationPeriod
}

// evacuationPeriod is the time from the acknowledgement of an order to the first
// attempt to revoke it; to is 0 without one.
type evacuationPeriod struct {
	dataCentre string
	from, to   time.Duration // since the epoch of the deployment
}

// OrderEvacuation sends one order to a coordinator and returns the status of the
// response; 0 without one.
func (d *Deployment) OrderEvacuation(ctx context.Context, coordinator *Process, dataCentre string, start bool) int {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !start {
		d.evacuations.end(dataCentre, time.Since(d.epoch))
	}
	status, err := d.client.Evacuate(ctx, coordinator.Machine.IP, dataCentre, start)
	if err != nil {
		return 0
	}
	if start && status == http.StatusOK {
		d.evacuations.begin(dataCentre, time.Since(d.epoch))
	}
	return status
}

// Evacuate sends an order to one coordinator after the other until it is acknowledged.
func (d *Deployment) Evacuate(ctx context.Context, dataCentre string, start bool) error {
	for attempt := 0; ; attempt++ {
		coordinator := d.Coordinators[attempt%len(d.Coordinators)]
		if d.OrderEvacuation(ctx, coordinator, dataCentre, start) == http.StatusOK {
			return nil
		}
		select {
		case <-time.After(orderPause):
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "evacuation order for %s", dataCentre)
		}
	}
}

func (e *evacuationRecords) begin(dataCentre string, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.ContainsFunc(e.periods, func(p evacuationPeriod) bool { return p.dataCentre == dataCentre && p.to == 0 }) {
		e.periods = append(e.periods, evacuationPeriod{dataCentre: dataCentre, from: now})
	}
}

func (e *evacuationRecords) end(dataCentre string, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.periods {
		if p := &e.periods[i]; p.dataCentre == dataCentre && p.to == 0 {
			p.to = now
		}
	}
}

// lateStarts returns the starts in evacuated data centres after the bound.
func (d *Deployment) lateStarts() []string {
	d.evacuations.mu.Lock()
	defer d.evacuations.mu.Unlock()
	var late []string
	for i, target := range d.Targets {
		for _, p := range d.evacuations.periods {
			if p.dataCentre != targetDataCentre(i) {
				continue
			}
			for _, record := range target.Records() {
				if record.Started > p.from+EvacuationBound && (p.to == 0 || record.Started < p.to) {
					late = append(late, fmt.Sprintf("task %s started in %s %s after the order to evacuate it", record.Task, p.dataCentre, record.Started-p.from))
				}
			}
		}
	}
	return late
}

// StartsIn returns the number of runs that have started in a data centre and ended.
func (d *Deployment) StartsIn(dataCentre string) int {
	count := 0
	for i, target := range d.Targets {
		if targetDataCentre(i) == dataCentre {
			count += len(target.Records())
		}
	}
	return count
}

func targetDataCentre(index int) string { return fmt.Sprintf("dc%d", index%2) }

// KnownEvacuations returns the evacuated data centres that a coordinator knows, if the
// log has confirmed them.
func (d *Deployment) KnownEvacuations(ctx context.Context, coordinator *Process) ([]string, error) {
	url := fmt.Sprintf("http://%s:%d%s", coordinator.Machine.IP, ports.Link+1, operatorapi.PathEvacuations)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := d.client.HTTP.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	var reply operatorapi.Evacuations
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return nil, errors.Trace(err)
	}
	if !reply.Confirmed {
		return nil, errors.New("not confirmed")
	}
	names := []string{}
	for _, evacuation := range reply.Evacuations {
		names = append(names, evacuation.DataCentre)
	}
	return names, nil
}

// EraseData removes the data folder of a coordinator that is not running, as the loss
// of its disk does.
func (d *Deployment) EraseData(coordinator *Process) error {
	folder := filepath.Join(d.folder, "data-"+coordinator.Machine.IP)
	if err := os.RemoveAll(folder); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.MkdirAll(folder, 0o755))
}
