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

// NoticesPath is where operators list the notices that endpoints gave in their answers.
const NoticesPath = "/notices"

// servesShare is the share of the time limit for leaving endpoints in which calls that no other
// endpoint may take are still sent to one. They have to arrive in the rest of the time.
const servesShare = 0.7

// enableNotices has the node act on the notices in answers of endpoints, and pass them on to other
// nodes.
func (n *Node) enableNotices(g *peer.Gossip) {
	if !n.settings.Enabled(noticesMechanism) {
		return
	}
	n.notices = notice.NewTracker(n.settings.Node, notice.Rule{Serves: fraction(servesShare, n.settings.LeavingLimit())}, n.onNotice)
	n.picker.WithNotices(n.notices)
	g.WithNotices(n.notices)
}

// onNotice applies a change of a notice.
func (n *Node) onNotice(c notice.Change) {
	switch c := c.(type) {
	case notice.Began:
		n.noticeBegan(c)
	case notice.Ended:
		n.log.WithFields(noticeFields(c.Engine)).Info("endpoint accepts calls again")
	}
}

func noticeFields(e engine.Engine) log.Fields {
	return log.Fields{"endpoint": e.ID, "born": e.Born, "service": e.Service, "zone": e.Zone}
}

func (n *Node) noticeBegan(c notice.Began) {
	fields := noticeFields(c.Engine)
	fields["from"], fields["ageMs"] = lo.CoalesceOrEmpty(c.From, n.settings.Node), c.Age.Milliseconds()
	switch signaled := c.Notice.(type) {
	case call.Rest:
		n.metrics.Noticed("rest")
		n.log.WithFields(fields).WithField("restMs", signaled.For.Milliseconds()).Info("endpoint asked a node to pause calls")
	case call.Leaving:
		n.metrics.Noticed("leaving")
		n.log.WithFields(fields).Info("endpoint signaled in its answers that it leaves: it gets no new calls")
		go n.engineTable.refresh()
		time.AfterFunc(notice.ReportLifetime-c.Age, n.engineTable.refresh) // the notice from another node may have expired then
	}
}

// withNotice returns an endpoint with its state as signaled in its answers: the store may report
// later that it leaves, or be unavailable.
func (t *engineTable) withNotice(e engine.Engine) engine.Engine {
	if t.notices == nil || e.State != engine.Ready {
		return e
	}
	if until, leaves := t.notices.Leaves(e.Incarnation(), clock.Now()); leaves {
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
		n.log.WithError(err).Warn("list of notices not sent to an operator")
	}
}
