package logger

import (
	"io"
	"maps"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields are the key=value pairs of one event.
type Fields = logrus.Fields

// Logger writes events. The zero value discards them. A Logger is safe for
// concurrent use.
type Logger struct {
	log  *logrus.Entry
	sink Sink
}

// Sink records events in addition to the log, for example in a ring buffer of
// the newest decisions.
type Sink interface {
	Record(event string, fields Fields)
}

// WithSink returns a copy of l that also passes its events to s. It replaces l's
// sink, if there is one.
func (l Logger) WithSink(s Sink) Logger {
	l.sink = s
	return l
}

// New returns a Logger that writes to w. Each line carries process, the name of
// the process.
func New(w io.Writer, process string) Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	})
	return Logger{log: l.WithField("process", process)}
}

// Event writes an event at level info. Like the other methods, it cuts long values.
func (l Logger) Event(event string, fields Fields) {
	if l.log == nil {
		return
	}
	fields = bounded(fields)
	l.log.WithFields(fields).WithField("event", event).Info()
	l.record(event, fields)
}

// Warn writes an event at level warning: an operator may have to act on it.
func (l Logger) Warn(event string, fields Fields) {
	if l.log == nil {
		return
	}
	fields = bounded(fields)
	l.log.WithFields(fields).WithField("event", event).Warn()
	l.record(event, fields)
}

// Failure writes an event at level warning, with err, the error that caused it,
// under the key error.
func (l Logger) Failure(event string, err error, fields Fields) {
	if l.log == nil {
		return
	}
	withError := maps.Clone(fields)
	if withError == nil {
		withError = Fields{}
	}
	withError["error"] = err
	l.Warn(event, withError)
}

func (l Logger) record(event string, fields Fields) {
	if l.sink != nil {
		l.sink.Record(event, fields)
	}
}
