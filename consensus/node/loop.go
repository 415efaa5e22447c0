package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/consensus"
)

const (
	maxBatch      = 256                    // inputs processed before the effects, besides the one waited for
	maxBacklog    = 4096                   // effects queued for disk and applier above which no requests are accepted
	maxIdle       = time.Second            // longest wait for input
	probeInterval = 500 * time.Millisecond // between two probes and between two checks of the members
)

// loop owns the core.
type loop struct {
	node *Node
	core *consensus.Core
	now  time.Time

	persistCh     chan consensus.Persist // to the disk writer
	writerEvents  chan consensus.Event   // from the disk writer
	applyCh       chan any               // to the applier
	applierEvents chan consensus.Event   // from the applier
	outbox        chan *consensus.Message

	persistQueue []consensus.Persist
	applyQueue   []any

	lastRef consensus.Ref
	replies map[consensus.Ref]chan result

	joiner joiner
}

func newLoop(n *Node) *loop {
	l := &loop{
		node:          n,
		core:          consensus.New(n.options.Core, n.options.Persisted),
		persistCh:     make(chan consensus.Persist, 64),
		writerEvents:  make(chan consensus.Event, 16),
		applyCh:       make(chan any, 64),
		applierEvents: make(chan consensus.Event, 16),
		outbox:        make(chan *consensus.Message, outboxSize),
		replies:       map[consensus.Ref]chan result{},
	}
	l.joiner = joiner{loop: l, emptyPeers: map[string]string{}, discovered: map[string]bool{}, hasLog: !n.options.Persisted.Empty()}
	return l
}

func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.now = time.Now()
		l.core.Step(l.now, consensus.Tick{})
		l.joiner.tick()
		if err := l.processReady(); err != nil {
			return err
		}
		timer.Reset(l.untilWake())
		if err := l.processInput(ctx, timer); err != nil {
			return err
		}
	}
}

// untilWake returns how long the loop may wait for input.
func (l *loop) untilWake() time.Duration {
	wake := l.joiner.nextTick
	if due := l.core.NextWake(); !due.IsZero() && due.Before(wake) {
		wake = due
	}
	return min(max(time.Until(wake), 0), maxIdle)
}

// processInput waits until there is an input, queued work can be handed on or the
// timer fires. It then processes the inputs that are ready, at most maxBatch more.
func (l *loop) processInput(ctx context.Context, timer *time.Timer) error {
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
	case event := <-l.writerEvents:
		l.step(event)
	case event := <-l.applierEvents:
		l.step(event)
	case message := <-l.node.inbox:
		l.receive(message)
	case r := <-l.requestCh():
		l.startRequest(r)
	}
	l.drainInputs()
	return nil
}

// nextPersist returns a nil channel when nothing is queued for the disk writer.
func (l *loop) nextPersist() (chan<- consensus.Persist, consensus.Persist) {
	if len(l.persistQueue) == 0 {
		return nil, consensus.Persist{}
	}
	return l.persistCh, l.persistQueue[0]
}

func (l *loop) nextApply() (chan<- any, any) {
	if len(l.applyQueue) == 0 {
		return nil, nil
	}
	return l.applyCh, l.applyQueue[0]
}

// requestCh returns nil, which blocks receivers, while the disk writer or the
// applier lags.
func (l *loop) requestCh() <-chan request {
	if len(l.persistQueue)+len(l.applyQueue) >= maxBacklog {
		return nil
	}
	return l.node.requests
}

func (l *loop) drainInputs() {
	for range maxBatch {
		select {
		case event := <-l.writerEvents:
			l.step(event)
		case event := <-l.applierEvents:
			l.step(event)
		case message := <-l.node.inbox:
			l.receive(message)
		case r := <-l.requestCh():
			l.startRequest(r)
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
	if !l.joiner.receive(message) {
		l.step(consensus.Receive{Message: message})
	}
}

func (l *loop) startRequest(r request) {
	l.lastRef++
	ref := l.lastRef
	l.replies[ref] = r.reply
	r.start(l, ref)
}

func (l *loop) removeMember(ref consensus.Ref, name string) {
	member := memberByName(l.core.Status().Members, name)
	l.step(consensus.ProposeMembers{
		Ref:    ref,
		Change: consensus.MemberChange{Kind: consensus.RemoveMember, Member: member},
	})
}

func (l *loop) transferLeadership(ref consensus.Ref, name string) {
	status := l.core.Status()
	to := ""
	if name != "" {
		to = memberByName(status.Members, name)
	}
	switch {
	case status.Role != consensus.Leader:
		l.reply(ref, result{err: l.convertError(&consensus.NotLeaderError{Leader: status.Leader})})
	case name != "" && !status.Members.HasVoter(to):
		l.reply(ref, result{err: consensus.ErrNoSuchMember})
	default:
		l.step(consensus.TransferLeadership{To: to})
		l.reply(ref, result{})
	}
}

// processReady passes the effects to the goroutines that execute them.
func (l *loop) processReady() error {
	for _, effect := range l.core.Ready() {
		switch e := effect.(type) {
		case consensus.SendMessage:
			l.send(e.Message)
		case consensus.Persist:
			l.joiner.hasLog = true
			l.persistQueue = append(l.persistQueue, e)
		case consensus.Apply, consensus.CommitSynced, consensus.InstallSnapshot, consensus.TakeSnapshot:
			l.applyQueue = append(l.applyQueue, e)
		case consensus.Proposed:
			l.queueProposalReply(e)
		case consensus.ReadReady:
			l.applyQueue = append(l.applyQueue, indexWaiter{index: e.Index, reply: l.takeReply(e.Ref)})
		case consensus.Refused:
			l.reply(e.Ref, result{err: l.convertError(e.Err)})
		case consensus.StatusChanged:
			l.node.publish(e.Status)
		case consensus.Failed:
			return errors.Annotate(e.Err, "replicated log")
		}
	}
	return nil
}

// queueProposalReply makes the applier reply to a proposer. Membership changes that
// the loop proposes itself have no proposer waiting for a reply.
func (l *loop) queueProposalReply(e consensus.Proposed) {
	if reply := l.takeReply(e.Ref); reply != nil {
		l.applyQueue = append(l.applyQueue, entryWaiter{index: e.Index, term: e.Term, reply: reply})
	}
}

func (l *loop) send(message *consensus.Message) {
	select {
	case l.outbox <- message:
	default:
	}
}

func (l *loop) takeReply(ref consensus.Ref) chan result {
	reply := l.replies[ref]
	delete(l.replies, ref)
	return reply
}

func (l *loop) reply(ref consensus.Ref, r result) {
	if reply := l.takeReply(ref); reply != nil {
		reply <- r
	}
}

// convertError replaces member IDs in errors with instance names.
func (l *loop) convertError(err error) error {
	if notLeader, ok := err.(*consensus.NotLeaderError); ok {
		return &NotLeaderError{Leader: InstanceName(notLeader.Leader)}
	}
	return err
}
