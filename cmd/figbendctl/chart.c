#include "chart.h"

#include <errno.h>
#include <stdio.h>

#define WIDTH 800
#define HEIGHT 300
#define LEFT 60
#define TOP 30
#define BOTTOM 260
#define RIGHT 780

/* Points beyond the most that there is room for are left out. */
void chart_add(struct chart *c, const struct chart_point *p)
{
	uint32_t i;

	for (i = 0; i < c->n; i++)
		if (c->point[i].at_s == p->at_s) {
			c->point[i].good += p->good;
			c->point[i].bad += p->bad;
			return;
		}
	if (c->n < CHART_POINTS_MAX)
		c->point[c->n++] = *p;
}

struct scale {
	int64_t from_s;
	int64_t to_s;
	double highest; /* requests a second */
};

static double rate(const struct chart *c, uint64_t n)
{
	return (double)n / c->slot_s;
}

static void find_scale(const struct chart *c, struct scale *s)
{
	const struct chart_point *p;
	uint32_t i;

	s->from_s = c->n ? c->point[0].at_s : 0;
	s->to_s = s->from_s;
	s->highest = 1.;
	for (i = 0; i < c->n; i++) {
		p = &c->point[i];
		if (p->at_s < s->from_s)
			s->from_s = p->at_s;
		if (p->at_s > s->to_s)
			s->to_s = p->at_s;
		if (rate(c, p->good + p->bad) > s->highest)
			s->highest = rate(c, p->good + p->bad);
	}
	s->to_s += c->slot_s;
}

static double x_of(const struct scale *s, int64_t at_s)
{
	return LEFT + (double)(at_s - s->from_s) * (RIGHT - LEFT) /
			      (double)(s->to_s - s->from_s);
}

static void write_bar(FILE *f, const struct chart *c, const struct scale *s,
		      const struct chart_point *p)
{
	double x = x_of(s, p->at_s);
	double w = x_of(s, p->at_s + c->slot_s) - x;
	double good = rate(c, p->good) / s->highest * (BOTTOM - TOP);
	double bad = rate(c, p->bad) / s->highest * (BOTTOM - TOP);

	fprintf(f,
		"<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
		"fill=\"#2a7\"/>\n"
		"<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" "
		"fill=\"#c33\"/>\n",
		x, BOTTOM - good, w, good, x, BOTTOM - good - bad, w, bad);
}

static void write_frame(FILE *f, const struct scale *s)
{
	fprintf(f,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<text x=\"%d\" y=\"18\">requests/s: within both targets "
		"(green), error budget used (red)</text>\n"
		"<text x=\"4\" y=\"%d\">%.1f</text>\n"
		"<text x=\"4\" y=\"%d\">0</text>\n"
		"<text x=\"%d\" y=\"%d\">%lld s</text>\n"
		"<path d=\"M%d %dV%dH%d\" fill=\"none\" stroke=\"#333\"/>\n",
		WIDTH, HEIGHT, LEFT, TOP + 4, s->highest, BOTTOM, RIGHT - 60,
		BOTTOM + 20, (long long)(s->to_s - s->from_s), LEFT, TOP,
		BOTTOM, RIGHT);
}

/* Writes the chart to a file. Returns 0, -EIO, or the error of opening. */
int chart_write(const struct chart *c, const char *path)
{
	FILE *f = fopen(path, "we");
	struct scale s;
	uint32_t i;

	if (!f)
		return -errno;
	find_scale(c, &s);
	write_frame(f, &s);
	for (i = 0; i < c->n; i++)
		write_bar(f, c, &s, &c->point[i]);
	fprintf(f, "</svg>\n");
	return fclose(f) ? -EIO : 0;
}
