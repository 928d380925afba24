package forward

import (
	"context"

	"github.com/samber/lo"

	"github.com/lynxshed/lynxshed/fleet/relay/choice"
	"github.com/lynxshed/lynxshed/fleet/relay/engine"
	"github.com/lynxshed/lynxshed/fleet/relay/origin"
)

// Origins knows which software version began each stream.
type Origins interface {
	// Began records that an endpoint of a version has brought an event of a stream.
	Began(s origin.Stream, service, version string)
	// Ended records that a stream's caller has all of it.
	Ended(s origin.Stream)
	// Find returns what is known of a stream, by this node or others.
	Find(ctx context.Context, s origin.Stream, service string) origin.Evidence
	// ListedElsewhere reports whether another node has just listed a version that this one does not.
	ListedElsewhere(service, version string) bool
	// Several reports whether several versions of a service may have begun its streams, as far as this
	// node knows.
	Several(service string) bool
}

// stream identifies the stream that the call begins or resumes.
func (j *job) stream() origin.Stream {
	return origin.StreamOf(j.tenant.Name, j.service.Name, j.call.StreamID())
}

// findOrigin binds a call that resumes a stream to the version that began it. If that can't be
// known it returns the refusal: a guess could join the output of two versions.
func (j *job) findOrigin() (refusal, bool) {
	if j.Origins == nil || j.call.LastEventID == "" || !j.route.Resumable {
		return refusal{}, true
	}
	listed := j.listedVersions() // before the question: a version that appears meanwhile did not begin the stream
	if j.call.Resumes == "" {
		return j.resumeUnnamed(listed)
	}
	j.origin = j.Origins.Find(j.r.Context(), j.stream(), j.service.Name)
	switch f := j.origin.Finding.(type) {
	case origin.Known:
		j.began = &f
		if j.versionGone() {
			return j.refusalOfVersion(), false
		}
	case origin.Several, origin.Unsure:
		return refuseNoOrigin, false
	case origin.Unanswered:
		return refuseUnanswered, false
	case origin.Sole:
		return j.bindToSole(listed)
	}
	return refusal{}, true
}

// bindToSole binds a call whose stream was begun by the one version that has served, which is the one
// that was listed.
func (j *job) bindToSole(listed []string) (refusal, bool) {
	switch len(listed) {
	case 0:
		return refuseNoEngine, false
	case 1:
		j.began = &origin.Known{Version: listed[0]}
		return refusal{}, true
	}
	return refuseNoOrigin, false
}

// listedVersions returns the versions of the service's endpoints.
func (j *job) listedVersions() []string {
	engines := j.Engines.Load()
	if engines == nil {
		return nil
	}
	all := engines.Of(j.service.Name)
	if t := j.trial(); t != nil {
		all = t.lists.All
	}
	return lo.Uniq(lo.Map(all, func(e engine.Engine, _ int) string { return e.StreamVersion() }))
}

// resumeUnnamed decides on a call that does not name the stream that it resumes: with one version it
// may run at any endpoint of that.
func (j *job) resumeUnnamed(listed []string) (refusal, bool) {
	if !j.Origins.Several(j.service.Name) {
		return j.bindToSole(listed)
	}
	j.note = "the call does not name the stream that it resumes"
	return refuseNoOrigin, false
}

// recordOrigin records the version that brings events of the call's stream, before the first of them
// is passed on.
func (j *job) recordOrigin(t *choice.Placement) {
	if j.Origins == nil || !j.route.Resumable {
		return
	}
	stream, service, conn, origins, e := j.stream(), j.service.Name, j.conn, j.Origins, t.Engine
	unidentified := conn.isUnidentified()
	origins.Began(stream, service, conn.streamVersion(e))
	if !unidentified {
		return
	}
	conn.whenIdentified(func() { origins.Began(stream, service, conn.streamVersion(e)) }) // holds no part of the call, which ends before it
}

// recordEnded records that the caller has the whole stream.
func (j *job) recordEnded() {
	if j.Origins != nil && j.route.Resumable {
		j.Origins.Ended(j.stream())
	}
}

// candidates returns the endpoints at which the call may run, by their regions and versions.
func (j *job) candidates(engines *engine.Directory) []engine.Engine {
	of := engines.Of(j.service.Name)
	if j.began != nil {
		of = ofVersion(of, engines.ResolveVersion(j.began.Version))
	}
	return j.inAllowedRegions(of)
}

// versionGone reports whether the call resumes a stream that a version began of which no endpoint may
// get calls.
func (j *job) versionGone() bool {
	engines := j.Engines.Load()
	if j.began == nil || engines == nil {
		return false
	}
	version := engines.ResolveVersion(j.began.Version)
	if t := j.trial(); t != nil {
		return len(t.ofVersion(version)) == 0
	}
	return len(ofVersion(engines.Of(j.service.Name), version)) == 0
}

// refusalOfVersion returns the refusal of a call whose version has no endpoint that may get it.
func (j *job) refusalOfVersion() refusal {
	engines := j.Engines.Load()
	if engines != nil && j.Origins.ListedElsewhere(j.service.Name, engines.ResolveVersion(j.began.Version)) {
		return refuseNotListed
	}
	return refuseVersionGone
}

func ofVersion(engines []engine.Engine, version string) []engine.Engine {
	return lo.Filter(engines, func(e engine.Engine, _ int) bool { return e.StreamVersion() == version })
}
