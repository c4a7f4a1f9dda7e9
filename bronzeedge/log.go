package bronzeedge

import (
	"io"

	"github.com/sirupsen/logrus"
)

// F are the fields of a log line.
type F = logrus.Fields

// Log writes JSON lines.
type Log struct {
	entry *logrus.Logger
}

// NewLog returns a log that writes to w.
func NewLog(w io.Writer) *Log {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{FieldMap: logrus.FieldMap{
		logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Message",
	}})
	return &Log{entry: log}
}

// Line writes one line.
func (l *Log) Line(message string, fields F) {
	l.entry.WithFields(fields).Info(message)
}

// Count counts an event that has no line of its own.
func (l *Log) Count(string) {}
