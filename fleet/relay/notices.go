package relay

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/clock"
	"github.com/lynxshed/lynxshed/fleet/relay/call"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/notice"
	"github.com/lynxshed/lynxshed/fleet/relay/peer"
)

// NoticesPath is where a node tells operators what endpoints say in their answers.
const NoticesPath = "/notices"

// servesPart is the part of the time in which a leaving endpoint must get no new work that
// calls may be sent there which no other endpoint may take: they have to arrive in the rest.
const servesPart = 0.7

// heedNotices has the node act on what endpoints say in their answers, and tell others.
func (n *Node) heedNotices(g *peer.Gossip) {
	if !n.settings.Enabled(noticesMechanism) {
		return
	}
	n.notices = notice.NewBook(n.settings.Node, notice.Rule{Serves: part(servesPart, n.settings.EndpointDrain())}, n.noticed)
	n.picker.WithNotices(n.notices)
	g.WithNotices(n.notices)
}

// noticed takes a change in force.
func (n *Node) noticed(c notice.Change) {
	switch c := c.(type) {
	case notice.Began:
		n.began(c)
	case notice.Ended:
		n.log.WithFields(noticeFields(c.Engine)).Info("endpoint takes calls again")
	}
}

func noticeFields(e engine.Engine) log.Fields {
	return log.Fields{"endpoint": e.ID, "born": e.Born, "service": e.Service, "zone": e.Zone}
}

func (n *Node) began(c notice.Began) {
	fields := noticeFields(c.Engine)
	fields["from"], fields["ageMs"] = lo.CoalesceOrEmpty(c.From, n.settings.Node), c.Age.Milliseconds()
	switch said := c.Notice.(type) {
	case call.Rest:
		n.metrics.Noticed("rest")
		n.log.WithFields(fields).WithField("restMs", said.For.Milliseconds()).Info("endpoint asks a node for rest")
	case call.Leaving:
		n.metrics.Noticed("leaving")
		n.log.WithFields(fields).Info("endpoint leaves, as it says in its answers: it gets no new calls")
		go n.engineTable.refresh()
		time.AfterFunc(notice.Believed-c.Age, n.engineTable.refresh) // another node's word may be over then
	}
}

// leaves is the endpoint as its answers say: the store may be late with its leaving, or away.
func (t *engineTable) leaves(e engine.Engine) engine.Engine {
	if t.notices == nil || e.State != engine.Ready {
		return e
	}
	if until, leaves := t.notices.Leaves(e.Life(), clock.Now()); leaves {
		e.State, e.LeavesBy = engine.Leaving, until
	}
	return e
}

func (n *Node) listNotices(w http.ResponseWriter, _ *http.Request) {
	all := []notice.Listed{}
	if n.notices != nil {
		all = lo.Map(n.notices.List(clock.Now()), func(l notice.Listed, _ int) notice.Listed {
			l.From = lo.CoalesceOrEmpty(l.From, n.settings.Node)
			return l
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(all); err != nil {
		n.log.WithError(err).Warn("notices of endpoints not told to an operator")
	}
}
