package logs

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxtailcroft/internal/core/audit"
)

// New returns a logger of JSON lines for a node; an unknown level is an error.
func New(w io.Writer, level, node string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	core := zapcore.NewCore(encoder(), zapcore.Lock(zapcore.AddSync(w)), minLevel)
	return zap.New(core).With(zap.String("Node", node)), nil
}

// encoder returns the JSON encoder that all loggers use.
func encoder() zapcore.Encoder {
	return zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey: "Time", LevelKey: "Level", MessageKey: "Message", NameKey: "Part", CallerKey: zapcore.OmitKey,
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder, EncodeName: zapcore.FullNameEncoder,
	})
}

// AuditLogger returns a function that writes complete audit records to the log.
func AuditLogger(log *zap.Logger) func(audit.Record) {
	log = log.Named("Audit")
	return func(r audit.Record) {
		log.Info("audit record of an operator's change or a node's decision", zap.String("Actor", r.Actor), zap.String("Action", r.Action), zap.String("Key", r.Key),
			zap.Int64("From", r.From), zap.Int64("To", r.To), zap.Any("Changes", r.Changes))
	}
}
