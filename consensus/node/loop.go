package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/consensus"
)

const (
	maxBatch      = 256  // inputs taken before the effects are carried out
	maxBacklog    = 4096 // effects that wait for disk or applier before requests wait too
	idleWait      = time.Second
	probeInterval = 500 * time.Millisecond
)

// loop owns the core.
type loop struct {
	node *Node
	core *consensus.Core
	now  time.Time

	persists chan consensus.Persist // to the disk writer
	disk     chan consensus.Event   // from the disk writer
	applies  chan any               // to the applier
	notes    chan consensus.Event   // from the applier
	outbox   chan *consensus.Message

	persistQueue []consensus.Persist
	applyQueue   []any

	lastRef consensus.Ref
	waiting map[consensus.Ref]chan result

	join joiner
}

func newLoop(n *Node) *loop {
	l := &loop{
		node:     n,
		core:     consensus.New(n.options.Core, n.options.Persisted),
		persists: make(chan consensus.Persist, 64),
		disk:     make(chan consensus.Event, 16),
		applies:  make(chan any, 64),
		notes:    make(chan consensus.Event, 16),
		outbox:   make(chan *consensus.Message, outboxSize),
		waiting:  map[consensus.Ref]chan result{},
	}
	l.join = joiner{loop: l, fresh: map[string]string{}, members: map[string]bool{}, started: !n.options.Persisted.Empty()}
	return l
}

func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.now = time.Now()
		l.core.Step(l.now, consensus.Tick{})
		l.join.tick()
		if err := l.carryOut(); err != nil {
			return err
		}
		timer.Reset(l.wait())
		if err := l.next(ctx, timer); err != nil {
			return err
		}
	}
}

// wait returns how long the loop may sleep without input.
func (l *loop) wait() time.Duration {
	wake := l.join.due
	if due := l.core.NextWake(); !due.IsZero() && due.Before(wake) {
		wake = due
	}
	return min(max(time.Until(wake), 0), idleWait)
}

// next waits for one input, then takes all others that are at hand.
func (l *loop) next(ctx context.Context, timer *time.Timer) error {
	persists, persist := l.nextPersist()
	applies, apply := l.nextApply()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case persists <- persist:
		l.persistQueue = l.persistQueue[1:]
	case applies <- apply:
		l.applyQueue = l.applyQueue[1:]
	case event := <-l.disk:
		l.step(event)
	case event := <-l.notes:
		l.step(event)
	case message := <-l.node.inbox:
		l.receive(message)
	case r := <-l.openRequests():
		l.begin(r)
	}
	l.drain()
	return nil
}

// nextPersist returns a nil channel when the disk writer has nothing to get.
func (l *loop) nextPersist() (chan<- consensus.Persist, consensus.Persist) {
	if len(l.persistQueue) == 0 {
		return nil, consensus.Persist{}
	}
	return l.persists, l.persistQueue[0]
}

func (l *loop) nextApply() (chan<- any, any) {
	if len(l.applyQueue) == 0 {
		return nil, nil
	}
	return l.applies, l.applyQueue[0]
}

// openRequests returns nil, which nobody can receive from, while disk or
// applier lag.
func (l *loop) openRequests() <-chan request {
	if len(l.persistQueue)+len(l.applyQueue) >= maxBacklog {
		return nil
	}
	return l.node.requests
}

func (l *loop) drain() {
	for range maxBatch {
		select {
		case event := <-l.disk:
			l.step(event)
		case event := <-l.notes:
			l.step(event)
		case message := <-l.node.inbox:
			l.receive(message)
		case r := <-l.openRequests():
			l.begin(r)
		default:
			return
		}
	}
}

func (l *loop) step(event consensus.Event) {
	l.now = time.Now()
	l.core.Step(l.now, event)
}

func (l *loop) receive(message *consensus.Message) {
	if !l.join.receive(message) {
		l.step(consensus.Receive{Message: message})
	}
}

func (l *loop) begin(r request) {
	l.lastRef++
	ref := l.lastRef
	l.waiting[ref] = r.reply
	r.begin(l, ref)
}

func (l *loop) remove(ref consensus.Ref, name string) {
	member := memberByName(l.core.Status().Members, name)
	l.step(consensus.ProposeMembers{
		Ref:    ref,
		Change: consensus.MemberChange{Kind: consensus.RemoveMember, Member: member},
	})
}

func (l *loop) transfer(ref consensus.Ref, name string) {
	status := l.core.Status()
	to := ""
	if name != "" {
		to = memberByName(status.Members, name)
	}
	switch {
	case status.Role != consensus.Leader:
		l.answer(ref, result{err: l.convert(&consensus.NotLeaderError{Leader: status.Leader})})
	case name != "" && !status.Members.HasVoter(to):
		l.answer(ref, result{err: consensus.ErrNoSuchMember})
	default:
		l.step(consensus.TransferLeadership{To: to})
		l.answer(ref, result{})
	}
}

// carryOut hands the effects to the goroutines that are responsible for them.
func (l *loop) carryOut() error {
	for _, effect := range l.core.Ready() {
		switch e := effect.(type) {
		case consensus.SendMessage:
			l.send(e.Message)
		case consensus.Persist:
			l.join.started = true
			l.persistQueue = append(l.persistQueue, e)
		case consensus.Apply, consensus.InstallSnapshot, consensus.TakeSnapshot:
			l.applyQueue = append(l.applyQueue, e)
		case consensus.Proposed:
			l.await(e)
		case consensus.ReadReady:
			l.applyQueue = append(l.applyQueue, awaitIndex{index: e.Index, reply: l.take(e.Ref)})
		case consensus.Refused:
			l.answer(e.Ref, result{err: l.convert(e.Err)})
		case consensus.StatusChanged:
			l.node.publish(e.Status)
		case consensus.Failed:
			return errors.Annotate(e.Err, "replicated log")
		}
	}
	return nil
}

// await lets the applier answer a proposer. The loop's own membership changes
// have none.
func (l *loop) await(e consensus.Proposed) {
	if reply := l.take(e.Ref); reply != nil {
		l.applyQueue = append(l.applyQueue, awaitEntry{index: e.Index, term: e.Term, reply: reply})
	}
}

func (l *loop) send(message *consensus.Message) {
	select {
	case l.outbox <- message:
	default:
	}
}

func (l *loop) take(ref consensus.Ref) chan result {
	reply := l.waiting[ref]
	delete(l.waiting, ref)
	return reply
}

func (l *loop) answer(ref consensus.Ref, r result) {
	if reply := l.take(ref); reply != nil {
		reply <- r
	}
}

// convert replaces member IDs in errors by instance names.
func (l *loop) convert(err error) error {
	if notLeader, ok := err.(*consensus.NotLeaderError); ok {
		return &NotLeaderError{Leader: InstanceName(notLeader.Leader)}
	}
	return err
}
