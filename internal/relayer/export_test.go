package relayer

import "time"

// Progress exports progress for tests.
type Progress = progress

// NewProgress returns the progress of a request that interrupt ends.
func NewProgress(interrupt func()) *Progress { return &progress{cancelWait: interrupt} }

// RecordSend is recordSend.
func (p *progress) RecordSend(upstream string, now time.Time) { p.recordSend(upstream, now) }

// RecordHead is recordHead.
func (p *progress) RecordHead(now time.Time) { p.recordHead(now) }

// Begin is begin.
func (p *progress) Begin() bool { return p.begin() }

// Settle is settle.
func (p *progress) Settle(now time.Time, all bool) { p.settle(now, all) }
