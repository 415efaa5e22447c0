package membership

// gossip holds the changes that are to be sent to other members.
type gossip struct {
	unsent  []string // names of members with a change that was not sent yet, the latest last
	sent    []string // names of members with a change that was sent, the next to be sent first
	changes map[string]*change
}

type change struct {
	update Update
	sends  int
	taken  bool // in the message that is being built
}

func newGossip() gossip { return gossip{changes: make(map[string]*change)} }

// add queues a change ahead of those that were sent already. It replaces an older
// change of the same member.
func (g *gossip) add(u Update) {
	g.changes[u.Name] = &change{update: u}
	g.unsent = append(g.unsent, u.Name)
}

// take appends up to updatesPerMessage changes to updates. Each change is sent
// limit times in all.
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
		ch.sends++
		if ch.sends >= limit {
			delete(g.changes, name)
			continue
		}
		again = append(again, name)
	}
	for _, name := range again {
		g.changes[name].taken = false
	}
	g.sent = append(g.sent, again...)
	return updates
}

func (g *gossip) pop() (string, bool) {
	if n := len(g.unsent); n > 0 {
		name := g.unsent[n-1]
		g.unsent = g.unsent[:n-1]
		return name, true
	}
	if len(g.sent) == 0 {
		return "", false
	}
	name := g.sent[0]
	g.sent = g.sent[1:]
	return name, true
}
