package membership

// gossip holds the changes that are to be passed on.
type gossip struct {
	unsent  []string // names of members with a change that was not sent yet, the latest last
	sends   []string // names of members with a change that was sent, the next to be sent first
	changes map[string]*change
}

type change struct {
	update Update
	sent   int
	taken  bool // in the message that is being made
}

func newGossip() gossip { return gossip{changes: make(map[string]*change)} }

// add queues a change before those that were sent already. An older change of the
// same member is replaced.
func (g *gossip) add(u Update) {
	g.changes[u.Name] = &change{update: u}
	g.unsent = append(g.unsent, u.Name)
}

// take appends up to updatesPerMessage changes, each of which is taken limit
// times in all.
func (g *gossip) take(updates []Update, limit int) []Update {
	taken := 0
	var again []string
	for taken < updatesPerMessage {
		name, ok := g.pop()
		if !ok {
			break
		}
		ch := g.changes[name]
		if ch == nil || ch.taken {
			continue // queued twice
		}
		ch.taken = true
		taken++
		updates = append(updates, ch.update)
		ch.sent++
		if ch.sent >= limit {
			delete(g.changes, name)
			continue
		}
		again = append(again, name)
	}
	for _, name := range again {
		g.changes[name].taken = false
	}
	g.sends = append(g.sends, again...)
	return updates
}

func (g *gossip) pop() (string, bool) {
	if n := len(g.unsent); n > 0 {
		name := g.unsent[n-1]
		g.unsent = g.unsent[:n-1]
		return name, true
	}
	if len(g.sends) == 0 {
		return "", false
	}
	name := g.sends[0]
	g.sends = g.sends[1:]
	return name, true
}
