package membership

// gossip holds the changes that are to be passed on.
type gossip struct {
	fresh []string // names of members with a change that was not sent yet, the latest last
	queue []string // names of members with a change that was sent, the next to be sent first
	sends map[string]*change
}

type change struct {
	update Update
	sent   int
	taken  bool // in the message that is being made
}

func newGossip() gossip { return gossip{sends: make(map[string]*change)} }

// add queues a change before those that were sent already. An older change of the
// same member is replaced.
func (g *gossip) add(u Update) {
	g.sends[u.Name] = &change{update: u}
	g.fresh = append(g.fresh, u.Name)
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
		ch := g.sends[name]
		if ch == nil || ch.taken {
			continue // queued twice
		}
		ch.taken = true
		taken++
		updates = append(updates, ch.update)
		ch.sent++
		if ch.sent >= limit {
			delete(g.sends, name)
			continue
		}
		again = append(again, name)
	}
	for _, name := range again {
		g.sends[name].taken = false
	}
	g.queue = append(g.queue, again...)
	return updates
}

func (g *gossip) pop() (string, bool) {
	if n := len(g.fresh); n > 0 {
		name := g.fresh[n-1]
		g.fresh = g.fresh[:n-1]
		return name, true
	}
	if len(g.queue) == 0 {
		return "", false
	}
	name := g.queue[0]
	g.queue = g.queue[1:]
	return name, true
}
