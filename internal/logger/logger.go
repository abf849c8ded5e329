package logger

import (
	"io"
	"maps"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields are the key=value pairs of one event.
type Fields = logrus.Fields

// Logger writes events. The zero value drops them. It is safe for concurrent
// use.
type Logger struct {
	log  *logrus.Entry
	sink Sink
}

// Sink records events besides the log, such as a ring of the newest decisions.
type Sink interface {
	Record(event string, fields Fields)
}

// WithSink returns a Logger that also gives its events to s.
func (l Logger) WithSink(s Sink) Logger {
	l.sink = s
	return l
}

// New returns a Logger that writes to w; each line carries the process's name.
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

// Event writes an event at the info level.
func (l Logger) Event(event string, fields Fields) {
	if l.log == nil {
		return
	}
	l.log.WithFields(fields).WithField("event", event).Info()
	l.take(event, fields)
}

// Warn writes an event that an operator may have to act on.
func (l Logger) Warn(event string, fields Fields) {
	if l.log == nil {
		return
	}
	l.log.WithFields(fields).WithField("event", event).Warn()
	l.take(event, fields)
}

// Failure writes an event with the error that caused it, at the warning level.
func (l Logger) Failure(event string, err error, fields Fields) {
	if l.log == nil {
		return
	}
	l.log.WithFields(fields).WithField("event", event).WithField("error", err).Warn()
	if l.sink == nil {
		return
	}
	withError := maps.Clone(fields)
	if withError == nil {
		withError = Fields{}
	}
	withError["error"] = err
	l.take(event, withError)
}

func (l Logger) take(event string, fields Fields) {
	if l.sink != nil {
		l.sink.Record(event, fields)
	}
}
