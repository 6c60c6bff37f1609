#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <string>

extern "C" {
#include "member.h"
}

namespace
{

void MakeHosts(struct member_epoch *e, uint32_t n)
{
	e->n = n;
	for (uint32_t i = 0; i < n; i++) {
		snprintf(e->host[i].name, sizeof(e->host[i].name), "h%u", i);
		snprintf(e->host[i].domain, sizeof(e->host[i].domain), "d%u",
			 i % 2);
	}
}

TEST(MemberOwners, ChangeOnlyForKeysOfALeavingHost)
{
	static struct member_epoch all, one_leaving;
	const struct member_host *a[3], *b[3];
	int moved = 0;

	MakeHosts(&all, 20);
	MakeHosts(&one_leaving, 20);
	one_leaving.host[4].leaving = true;
	for (int i = 0; i < 200; i++) {
		std::string key = "account" + std::to_string(i);

		ASSERT_EQ(3u, member_owners(&all, "d0", key.c_str(), a, 3));
		ASSERT_EQ(3u,
			  member_owners(&one_leaving, "d0", key.c_str(), b, 3));
		if (std::string(a[0]->name) == b[0]->name)
			continue;
		EXPECT_STREQ("h4", a[0]->name);
		moved++;
	}
	EXPECT_GT(moved, 5);
	EXPECT_LT(moved, 45);
}

TEST(MemberOwners, KeysSpreadOverHosts)
{
	static struct member_epoch e;
	const struct member_host *h;
	std::map<std::string, int> count;

	MakeHosts(&e, 20);
	for (int i = 0; i < 1000; i++) {
		std::string key = "account" + std::to_string(i);

		ASSERT_EQ(1u, member_owners(&e, "d1", key.c_str(), &h, 1));
		count[h->name]++;
	}
	EXPECT_EQ(10u, count.size());
	for (auto &c : count)
		EXPECT_GT(c.second, 50) << c.first;
}

} // namespace
