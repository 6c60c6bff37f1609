#include "standin.h"

#include <stdio.h>
#include <string.h>

static struct platform_host *find_host(struct platform *p, const char *name)
{
	struct platform_host *h;
	uint32_t i;

	for (i = 0; i < p->host_n; i++)
		if (strcmp(p->host[i].name, name) == 0)
			return &p->host[i];
	if (p->host_n == HOSTS_MAX)
		return NULL;
	h = &p->host[p->host_n++];
	memset(h, 0, sizeof(*h));
	snprintf(h->name, sizeof(h->name), "%s", name);
	return h;
}

static void announce(struct platform *p, const char *name,
		     struct jread_node *root)
{
	struct platform_host *h = find_host(p, name);

	if (!h)
		return;
	jread_string(root, "domain", h->domain, sizeof(h->domain));
	jread_string(root, "addr", h->addr, sizeof(h->addr));
	jread_string(root, "state", h->state, sizeof(h->state));
	h->announced_us = now_us();
}

static struct json_object *list_object(struct platform *p)
{
	int64_t oldest_us = now_us() - p->host_ttl_ms * 1000LL;
	struct json_object *o = json_object_new_object();
	struct json_object *array = json_object_new_array();
	struct json_object *item;
	const struct platform_host *h;
	uint32_t i;

	for (i = 0; i < p->host_n; i++) {
		h = &p->host[i];
		if (h->announced_us < oldest_us)
			continue;
		item = json_object_new_object();
		json_object_object_add(item, "name",
				       json_object_new_string(h->name));
		json_object_object_add(item, "domain",
				       json_object_new_string(h->domain));
		json_object_object_add(item, "addr",
				       json_object_new_string(h->addr));
		json_object_object_add(item, "state",
				       json_object_new_string(h->state));
		json_object_array_add(array, item);
	}
	json_object_object_add(o, "hosts", array);
	return o;
}

static void answer_list(struct platform *p, struct httpd_call *c)
{
	int64_t now = now_us();

	if (!p->list || now - p->list_at_us >= p->list_lag_ms * 1000LL) {
		json_object_put(p->list);
		p->list = list_object(p);
		p->list_at_us = now;
	}
	reply(c, 200, json_object_get(p->list));
}

/* Serves GET /hosts and PUT /hosts/NAME. */
void hosts_handle(struct platform *p, struct httpd_call *c, const char *name)
{
	struct jread_errors faults;
	struct jread_node root;
	const char *body;
	size_t n;

	if (strcmp(httpd_method(c), "PUT")) {
		answer_list(p, c);
		return;
	}
	jread_errors_init(&faults);
	body = httpd_body(c, &n);
	if (jread_parse(body, n, "body", &faults, &root) == 0) {
		announce(p, name, &root);
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
	reply(c, 200, json_object_new_object());
}
