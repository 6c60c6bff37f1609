#include <gtest/gtest.h>

extern "C" {
#include "directory.h"
}

struct Directory : testing::Test {
	struct directory *d = directory_new(3, 1, 2, 3);

	void SetUp() override
	{
		route(0, "a.example", "/x/");
		route(1, "a.example", "/x/y/");
		route(2, "b.example", "/x/");
		strcpy(d->account[0].name, "one");
		strcpy(d->account[1].name, "two");
		key(0, "zz", 0);
		key(1, "aa", 1);
		key(2, "mm", 1);
		directory_sort_keys(d);
	}
	void TearDown() override
	{
		directory_unref(d);
	}
	void route(int i, const char *host, const char *prefix)
	{
		strcpy(d->route[i].host, host);
		strcpy(d->route[i].path_prefix, prefix);
	}
	void key(int i, const char *key, uint32_t account)
	{
		strcpy(d->key[i].key, key);
		d->key[i].account = account;
	}
};

TEST_F(Directory, FindsTheRouteForAHostWithTheLongestPrefix)
{
	EXPECT_EQ(directory_find_route(d, "a.example", "/x/1"), &d->route[0]);
	EXPECT_EQ(directory_find_route(d, "A.Example:80", "/x/y/1"),
		  &d->route[1]);
	EXPECT_EQ(directory_find_route(d, "b.example", "/x/y/1"), &d->route[2]);
	EXPECT_EQ(directory_find_route(d, "c.example", "/x/1"), nullptr);
	EXPECT_EQ(directory_find_route(d, "a.example", "/x"), nullptr);
	EXPECT_EQ(directory_find_route(d, "a.example.evil", "/x/1"), nullptr);
}

TEST_F(Directory, FindsTheAccountOfAnApiKey)
{
	EXPECT_STREQ(directory_find_account(d, "zz")->name, "one");
	EXPECT_STREQ(directory_find_account(d, "aa")->name, "two");
	EXPECT_EQ(directory_find_account(d, ""), nullptr);
	EXPECT_EQ(directory_find_account(d, "z"), nullptr);
	EXPECT_EQ(directory_find_account(d, std::string(500, 'z').c_str()),
		  nullptr);
}

TEST_F(Directory, PicksServicesInProportionToTheirWeights)
{
	struct directory_route *r = &d->route[0];
	int n[2] = {};

	r->n_split = 2;
	strcpy(r->split[0].service, "s");
	strcpy(r->split[1].service, "t");
	r->split[0].weight = 90;
	r->split[1].weight = 10;
	for (uint64_t i = 0; i < 1000; i++)
		n[directory_pick_service(r, i)[0] == 't']++;
	EXPECT_EQ(n[0], 900);
	EXPECT_EQ(n[1], 100);
	r->split[0].weight = r->split[1].weight = 0;
	EXPECT_EQ(directory_pick_service(r, 5), nullptr);
}
