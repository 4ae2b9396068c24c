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

// metricPrefix stands before the names of all metrics in the text form.
const metricPrefix = "wisteriadyke_"

// quantiles are those that the text form gives of timers and histograms.
var quantiles = []float64{0.5, 0.95, 0.99}

// secondsPerNanosecond turns the unit of timers into that of the text form.
const secondsPerNanosecond = 1e-9

// handleMetricsJSON serves GET /v1/metrics.
func (s *Server) handleMetricsJSON(ctx iris.Context) {
	ctx.ContentType("application/json")
	metrics.WriteJSONOnce(s.Metrics, ctx.ResponseWriter())
}

// handleMetricsText serves GET /metrics in the text form of Prometheus.
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

// families turns the metrics of a registry into those of the text form, by name.
func families(registry metrics.Registry) []*dto.MetricFamily {
	var found []*dto.MetricFamily
	registry.Each(func(name string, metric any) {
		if family := toFamily(textName(name), metric); family != nil {
			found = append(found, family)
		}
	})
	sort.Slice(found, func(i, j int) bool { return found[i].GetName() < found[j].GetName() })
	return found
}

// textName turns the name of a metric into that of the text form.
func textName(name string) string {
	return metricPrefix + strings.ReplaceAll(name, ".", "_")
}

// toFamily turns one metric; it returns nil for kinds that this system does not use.
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

// family returns a family of one metric.
func family(name string, kind dto.MetricType, metric *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: proto.String(name), Type: kind.Enum(), Metric: []*dto.Metric{metric}}
}

// summary returns count, sum and quantiles in the unit of the text form.
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
