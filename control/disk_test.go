package control

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"limehold/fleet"
	"limehold/metrics"
	"limehold/settings"
	"limehold/wal"
	"limehold/wire"
)

const (
	// eventually is how long a test waits for a condition.
	eventually   = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// diskGroup is a group of members on one machine whose disks can be filled.
type diskGroup struct {
	t       *testing.T
	members []*diskMember
	// acknowledged are the zones whose drain was acknowledged.
	acknowledged []string
}

// diskMember is a member whose log can be written unless full is set.
type diskMember struct {
	*Member
	full    atomic.Bool
	options Options
	stop    context.CancelFunc
	ended   chan error
}

// fullDiskFile is a segment of a log. While the disk is full, half of each write is done.
type fullDiskFile struct {
	*os.File
	full *atomic.Bool
}

func (f *fullDiskFile) Write(data []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(data)
	}
	written, err := f.File.Write(data[:len(data)/2])
	return written, errors.Join(err, syscall.ENOSPC)
}

func (d *diskMember) createFile(path string) (wal.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	return &fullDiskFile{file, &d.full}, err
}

// newDiskGroup starts three members with default settings, as edited, and waits until all of them vote.
func newDiskGroup(t *testing.T, edits ...func(*settings.Settings)) *diskGroup {
	g := &diskGroup{t: t}
	for i := range 3 {
		config := settings.Default()
		config.Name, config.DataFolder = fmt.Sprintf("control-%d", i+1), t.TempDir()
		config.Control.Join = i > 0
		for _, edit := range edits {
			edit(&config)
		}
		d := &diskMember{options: Options{Settings: config, Logger: zap.NewNop()}}
		d.options.createFile = d.createFile
		g.members = append(g.members, d)
		g.start(d)
		if i > 0 {
			g.await("a further member", func() bool {
				leader := g.leader()
				return leader != nil && leader.AddMember(context.Background(), config.Name, d.Address()) == nil
			})
		}
	}
	t.Cleanup(func() {
		for _, d := range g.members {
			d.full.Store(false)
			g.end(d)
		}
	})
	return g
}

// start starts a member. Its later starts are at the address of the first.
func (g *diskGroup) start(d *diskMember) {
	g.t.Helper()
	d.options.Metrics = metrics.New()
	member, err := New(d.options)
	if err != nil {
		g.t.Fatal(err)
	}
	d.Member = member
	d.options.Settings.Control.Listen = member.Address()
	ctx, cancel := context.WithCancel(context.Background())
	d.stop, d.ended = cancel, make(chan error, 1)
	go func() { d.ended <- member.Run(ctx) }()
	select {
	case <-member.started:
	case <-time.After(eventually):
		g.t.Fatal("the member has not started")
	}
}

// end stops a member. A member that ended by itself is an error.
func (g *diskGroup) end(d *diskMember) {
	select {
	case err := <-d.ended:
		g.t.Errorf("%s ended by itself: %v", d.options.Settings.Name, err)
		return
	default:
	}
	d.stop()
	if err := <-d.ended; err != nil {
		g.t.Errorf("%s: %v", d.options.Settings.Name, err)
	}
}

func (g *diskGroup) await(what string, condition func() bool) {
	g.t.Helper()
	for end := time.Now().Add(eventually); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			g.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// leader returns the member that leads and may answer for the group, or nil.
func (g *diskGroup) leader() *diskMember {
	for _, d := range g.members {
		if _, err := d.localReadIndex(); err == nil {
			return d
		}
	}
	return nil
}

// followers returns the members that do not lead.
func (g *diskGroup) followers() (list []*diskMember) {
	leader := g.leader()
	for _, d := range g.members {
		if d != leader {
			list = append(list, d)
		}
	}
	return list
}

// drain drains a further zone through a member.
func (g *diskGroup) drain(d *diskMember) error {
	zone := fmt.Sprintf("zone-%d", len(g.acknowledged))
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	_, err := d.execute(ctx, fleet.Command{ID: "drain " + zone, SetZoneDraining: &fleet.SetZoneDraining{Zone: zone, Draining: true}})
	if err == nil {
		g.acknowledged = append(g.acknowledged, zone)
	}
	return err
}

// mustDrain drains some zones, through any member that answers.
func (g *diskGroup) mustDrain() {
	g.t.Helper()
	for range 5 {
		g.await("an accepted command", func() bool {
			leader := g.leader()
			return leader != nil && g.drain(leader) == nil
		})
	}
}

// holdsAll reports whether a member's state has everything that was acknowledged.
func (g *diskGroup) holdsAll(d *diskMember) bool {
	held := true
	d.replica.view(func(state *fleet.State) {
		for _, zone := range g.acknowledged {
			held = held && state.Zones[zone].Draining
		}
	})
	return held
}

// recover gives all disks room and waits until all members hold everything and say that they are healthy.
func (g *diskGroup) recover() {
	g.t.Helper()
	for _, d := range g.members {
		d.full.Store(false)
	}
	g.mustDrain()
	for _, d := range g.members {
		g.await(d.options.Settings.Name, func() bool { return g.holdsAll(d) && d.disk.healthy() == nil && !d.replica.status.Load().DiskFull })
	}
	status := g.leader().replica.status.Load()
	if voters := len(status.Configuration.Voters()); voters != 3 {
		g.t.Errorf("%d voters", voters)
	}
}

func (g *diskGroup) awaitFull(d *diskMember) {
	g.t.Helper()
	g.await("a full disk to be noticed", func() bool { return d.replica.status.Load().DiskFull && d.disk.healthy() != nil })
}

func TestFollowerWithFullDiskStaysAndComesBack(t *testing.T) {
	g := newDiskGroup(t)
	g.mustDrain()
	leader, follower := g.leader(), g.followers()[0]
	follower.full.Store(true)
	g.mustDrain()
	g.awaitFull(follower)
	g.mustDrain()
	if g.holdsAll(follower) {
		t.Error("the follower has applied what its disk does not hold")
	}
	if g.leader() != leader {
		t.Error("leadership changed")
	}
	g.await("the leader's view of the follower", func() bool {
		view := leader.leaderView(context.Background())
		for _, member := range leader.memberViews(&view) {
			if member.Name == follower.options.Settings.Name {
				return member.DiskFull
			}
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	if err := follower.linearize(ctx); !errors.Is(err, wal.ErrDiskFull) {
		t.Errorf("a read at the follower: %v", err)
	}
	g.recover()
}

func TestLeaderWithFullDiskGivesWay(t *testing.T) {
	g := newDiskGroup(t)
	g.mustDrain()
	old := g.leader()
	old.full.Store(true)
	g.await("a leader with room", func() bool {
		// A leader notices with its next write.
		_ = g.drain(old)
		leader := g.leader()
		return leader != nil && leader != old
	})
	g.mustDrain()
	g.awaitFull(old)
	g.recover()
}

func TestMajorityWithFullDisksRefusesChangesAndAnswersReads(t *testing.T) {
	g := newDiskGroup(t)
	g.mustDrain()
	leader, followers := g.leader(), g.followers()
	for _, d := range followers {
		d.full.Store(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	// The first command is taken, and nobody knows its outcome.
	short, cancelShort := context.WithTimeout(ctx, time.Second)
	defer cancelShort()
	if _, err := leader.executeLocally(short, fleet.Command{ID: "open", SetZoneDraining: &fleet.SetZoneDraining{Zone: "open", Draining: true}}); err == nil {
		t.Fatal("a command was acknowledged that no majority holds")
	}
	for _, d := range followers {
		g.awaitFull(d)
	}
	var refusal *wire.Error
	if err := g.drain(leader); !errors.As(err, &refusal) || refusal.Code != wire.CodeDiskFull {
		t.Errorf("a command: %v", err)
	}
	if err := leader.linearize(ctx); err != nil {
		t.Errorf("a read: %v", err)
	}
	if g.leader() != leader {
		t.Error("leadership changed")
	}
	g.recover()
}

func TestMemberStartsOnAFullDisk(t *testing.T) {
	g := newDiskGroup(t)
	g.mustDrain()
	follower := g.followers()[0]
	follower.full.Store(true)
	for range 3 {
		g.end(follower)
		g.start(follower)
		g.mustDrain()
		g.awaitFull(follower)
	}
	g.recover()
}
