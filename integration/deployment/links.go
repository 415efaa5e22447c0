package deployment

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"

	"hawthornshore.example/integration/faultproxy"
)

// linkPortStep separates the link ports of the machines. A process dials the others at
// its own link port, where the proxy of the link listens.
const linkPortStep = 16

// linkEnds are the IP addresses of the dialling and of the listening process of a link.
type linkEnds struct{ from, to string }

// processes returns all processes, those that are not started included.
func (d *Deployment) processes() []*Process {
	return slices.Concat(d.Coordinators, d.spares, d.Gateways)
}

// proxyLinks puts a proxy into each link to a coordinator.
func (d *Deployment) proxyLinks() error {
	d.links = map[linkEnds]*faultproxy.Proxy{}
	for _, from := range d.processes() {
		for _, to := range slices.Concat(d.Coordinators, d.spares) {
			if from == to {
				continue
			}
			proxy, err := faultproxy.NewAt(
				fmt.Sprintf("%s:%d", to.Machine.IP, from.ports.Link), fmt.Sprintf("%s:%d", to.Machine.IP, to.ports.Link))
			if err != nil {
				return errors.Annotatef(err, "proxy of the link from %s to %s", from.Machine.IP, to.Machine.IP)
			}
			d.links[linkEnds{from.Machine.IP, to.Machine.IP}] = proxy
		}
	}
	return nil
}

// Split drops all bytes between the coordinators of a side and the other coordinators.
// Gateways reach both. Without a side it ends the split.
func (d *Deployment) Split(side ...*Process) {
	for _, a := range d.Coordinators {
		for _, b := range d.Coordinators {
			link := d.links[linkEnds{a.Machine.IP, b.Machine.IP}]
			if link == nil {
				continue
			}
			fault := faultproxy.Fault{Kind: faultproxy.Forward}
			if slices.Contains(side, a) != slices.Contains(side, b) {
				fault.Kind = faultproxy.Drop
			}
			link.SetBoth(fault, faultproxy.ExistingAndNew)
		}
	}
}

// Leader returns the coordinator that has logged last that it leads the log, or nil.
func (d *Deployment) Leader() *Process {
	for _, p := range d.Coordinators {
		data, err := os.ReadFile(p.log)
		if err != nil {
			continue
		}
		lines := strings.Split(string(data), "\n")
		for _, line := range slices.Backward(lines) {
			if strings.Contains(line, "event=voter_status") {
				if strings.Contains(line, "role=leader") && p.Running() {
					return p
				}
				break
			}
		}
	}
	return nil
}

// AddCoordinator starts a coordinator with an empty disk that the others do not know.
func (d *Deployment) AddCoordinator() (*Process, error) {
	if len(d.spares) == 0 {
		return nil, errors.NotFoundf("another spare coordinator")
	}
	added := d.spares[0]
	d.spares = d.spares[1:]
	if err := added.writeSettings(false); err != nil {
		return nil, err
	}
	if err := added.Start(); err != nil {
		return nil, err
	}
	d.Coordinators = append(d.Coordinators, added)
	return added, nil
}
