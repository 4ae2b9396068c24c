package operator

import (
	"sort"
	"strings"

	"github.com/kataras/iris/v12"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// metricPrefix is the prefix of all metric names in the Prometheus text format.
const metricPrefix = "wisteriadyke_"

// quantiles are the quantiles of timers and histograms in the Prometheus text format.
var quantiles = []float64{0.5, 0.95, 0.99}

// secondsPerNanosecond converts nanoseconds, the unit of timers, to seconds, the unit of the Prometheus text format.
const secondsPerNanosecond = 1e-9

// handleMetricsJSON serves GET /v1/metrics: one JSON object with all metrics by name.
func (s *Server) handleMetricsJSON(ctx iris.Context) {
	ctx.ContentType("application/json")
	metrics.WriteJSONOnce(s.Metrics, ctx.ResponseWriter())
}

// handleMetricsText serves GET /metrics in the Prometheus text format.
func (s *Server) handleMetricsText(ctx iris.Context) {
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	ctx.Header("Content-Type", string(format))
	encoder := expfmt.NewEncoder(ctx.ResponseWriter(), format)
	for _, family := range families(s.Metrics) {
		if err := encoder.Encode(family); err != nil {
			return
		}
	}
}

// families converts the metrics of a registry to metric families, ordered by name. Metrics of unsupported kinds are
// left out.
func families(registry metrics.Registry) []*dto.MetricFamily {
	var result []*dto.MetricFamily
	registry.Each(func(name string, metric any) {
		if family := toFamily(textName(name), metric); family != nil {
			result = append(result, family)
		}
	})
	sort.Slice(result, func(i, j int) bool { return result[i].GetName() < result[j].GetName() })
	return result
}

// textName converts the name of a metric to its Prometheus name, without the suffix for its kind.
func textName(name string) string {
	return metricPrefix + strings.ReplaceAll(name, ".", "_")
}

// toFamily converts one metric to a metric family. It returns nil for a metric of an unsupported kind.
func toFamily(name string, metric any) *dto.MetricFamily {
	switch m := metric.(type) {
	case metrics.Counter:
		value := &dto.Metric{Counter: &dto.Counter{Value: proto.Float64(float64(m.Count()))}}
		return family(name+"_total", dto.MetricType_COUNTER, value)
	case metrics.Gauge:
		value := &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(float64(m.Value()))}}
		return family(name, dto.MetricType_GAUGE, value)
	case metrics.GaugeFloat64:
		value := &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(m.Value())}}
		return family(name, dto.MetricType_GAUGE, value)
	case metrics.Timer:
		snapshot := m.Snapshot()
		value := summary(snapshot.Count(), snapshot.Sum(), snapshot.Percentiles(quantiles), secondsPerNanosecond)
		return family(name+"_seconds", dto.MetricType_SUMMARY, value)
	case metrics.Histogram:
		snapshot := m.Snapshot()
		value := summary(snapshot.Count(), snapshot.Sum(), snapshot.Percentiles(quantiles), 1)
		return family(name, dto.MetricType_SUMMARY, value)
	}
	return nil
}

// family returns a metric family with one metric.
func family(name string, kind dto.MetricType, metric *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: proto.String(name), Type: kind.Enum(), Metric: []*dto.Metric{metric}}
}

// summary returns a summary metric with the given count and sum, and with one value for each element of quantiles. The
// sum and the values are multiplied by unit.
func summary(count, sum int64, values []float64, unit float64) *dto.Metric {
	result := &dto.Summary{
		SampleCount: proto.Uint64(uint64(count)),
		SampleSum:   proto.Float64(float64(sum) * unit),
	}
	for i, q := range quantiles {
		result.Quantile = append(result.Quantile, &dto.Quantile{
			Quantile: proto.Float64(q),
			Value:    proto.Float64(values[i] * unit),
		})
	}
	return &dto.Metric{Summary: result}
}
