package settings

import (
	"fmt"
	"maps"
	"slices"
)

// Peer is a section [peer.NAME].
type Peer struct {
	Name       string
	Link       string // IP:port
	DataCentre string
	Voter      bool
}

// OtherPeers returns the peers other than the instance itself, ordered by name.
func (d Daemon) OtherPeers() []Peer {
	var others []Peer
	for _, name := range slices.Sorted(maps.Keys(d.Peers)) {
		if name != d.Instance.Name {
			others = append(others, d.Peers[name])
		}
	}
	return others
}

func (m *mergedSettings) peers() map[string]Peer {
	peers := map[string]Peer{}
	for _, name := range m.namesInSections("peer") {
		s := m.section("peer." + name)
		peers[name] = Peer{
			Name:       name,
			Link:       s.text("link"),
			DataCentre: s.text("data_centre"),
			Voter:      s.bool("voter"),
		}
	}
	return peers
}

// checkPeers reports peers that share a link address, and an entry for the
// instance itself that contradicts its own section.
func (m *mergedSettings) checkPeers(d Daemon) {
	byLink := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Peers)) {
		peer := d.Peers[name]
		s := m.section("peer." + name)
		if other, ok := byLink[peer.Link]; ok && peer.Link != "" {
			s.report("link", fmt.Sprintf("value %q is the address of [peer.%s] too", peer.Link, other), "one address per peer")
		}
		byLink[peer.Link] = name
		if name != d.Instance.Name {
			continue
		}
		if peer.DataCentre != d.Instance.DataCentre {
			s.report("data_centre", fmt.Sprintf("value %q differs from [instance] data_centre", peer.DataCentre), d.Instance.DataCentre)
		}
		if peer.Voter != d.Instance.Voter() {
			s.report("voter", fmt.Sprintf("value %t contradicts [instance] data_folder", peer.Voter), "true exactly if data_folder is set")
		}
	}
}
