package account

// Grant deducts tokens for a peer before they are sent and returns their number: what the peer
// needs, or all that is free if that is less, and up to what it wants as long as half of the free
// tokens stay on this node.
func (p *Allowance) Grant(tenant string, need, want int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	need, want = min(need, maxPrepaid), min(want, maxPrepaid)
	q := p.quota(tenant)
	free := max(q.free(), 0)
	tokens := max(min(free, max(need, min(want, free/2))), 0)
	q.granted += tokens
	if tokens < need || q.dependents > 0 && tokens < want/2 {
		q.shortfall = max(q.shortfall, want-tokens)
		p.shortfall = p.shortfall || q.pool > 0
	}
	return tokens
}

// Receive adds tokens that a peer has granted. The caller must ensure that each grant is counted
// only once.
func (p *Allowance) Receive(tenant string, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quota(tenant).granted -= tokens
}
