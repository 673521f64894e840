import asyncio
import re

import aiohttp
from chivelb_cli import fleet as fleet_lib
import pytest
import sites

pytestmark = pytest.mark.xdist_group("console")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = sites.make_fleet(
        tmp_path_factory.mktemp("console"), voters=1, zones=["z1"]
    )
    sites.start_instances(fleet)
    try:
        yield fleet
    finally:
        fleet.stop()


def run(fleet, scenario):
    async def main():
        jar = aiohttp.CookieJar(unsafe=True)
        async with aiohttp.ClientSession(cookie_jar=jar) as session:
            await fleet.wait_ready(session)
            await scenario(session, fleet.instances["z1-1"].url)

    asyncio.run(main())


async def sign_in(session, url):
    async with session.post(
        f"{url}/console/login", data={"key": fleet_lib.OPERATOR_KEY}
    ) as response:
        assert response.status == 200
        assert "overview" in await response.text()


def form_fields(text):
    """Returns the field values of a page's form."""
    inputs = dict(re.findall(r'name="([^"]+)" value="([^"]*)"', text))
    selected = re.findall(
        r'<select name="([^"]+)">.*?<option selected>([^<]*)', text
    )
    import html

    return {k: html.unescape(v) for k, v in [*inputs.items(), *selected]}


async def get(session, url, path):
    async with session.get(f"{url}/console{path}") as response:
        return response.status, await response.text()


async def post(session, url, path, data):
    async with session.post(f"{url}/console{path}", data=data) as response:
        return response.status, await response.text()


def test_without_a_session_only_the_login_is_shown(fleet):
    async def scenario(session, url):
        for path in ("", "/services", "/services/estimator-lm"):
            _, text = await get(session, url, path)
            assert "operator key" in text and "estimator" not in text
        status, text = await post(session, url, "/login", {"key": "wrong"})
        assert "wrong key" in text
        status, text = await post(session, url, "/apply", {"path": "limits"})
        assert "operator key" in text

    run(fleet, scenario)


def test_a_form_shows_its_difference_and_is_applied(fleet):
    async def scenario(session, url):
        await sign_in(session, url)
        _, text = await get(session, url, "/services/estimator-lm")
        form = form_fields(text)
        form["timeout_s"] = "33.0"
        status, text = await post(session, url, "/preview", form)
        assert status == 200
        assert "<del>60.0</del>" in text and "<ins>33.0</ins>" in text
        stale = form_fields(text)
        status, text = await post(session, url, "/apply", stale)
        assert status == 200 and "accepted" in text
        # Submitting the same form twice applies one change.
        status, text = await post(session, url, "/apply", stale)
        assert status == 200 and "accepted" in text
        # A different change based on the same version is a conflict.
        conflicting = {**stale, "change-id": "another-operator"}
        status, text = await post(session, url, "/apply", conflicting)
        assert status == 409 and "another operator has changed" in text

    run(fleet, scenario)


def test_a_workspace_secret_is_preserved_and_never_shown(fleet):
    async def scenario(session, url):
        await sign_in(session, url)
        _, text = await get(session, url, "/workspaces/joinery")
        form = form_fields(text)
        assert form["cache_secret"] == "(secret)"
        form["weight"] = "2.5"
        _, text = await post(session, url, "/preview", form)
        assert "cache_secret" not in text.split("<form")[0]
        status, text = await post(session, url, "/apply", form_fields(text))
        assert status == 200, text
        _, reply, _ = await get_completion(session, url)
        assert "error" in reply or reply["choices"]

    async def get_completion(session, url):
        return await sites.complete(session, url)

    run(fleet, scenario)


def test_invalid_values_and_forged_forms_are_rejected_with_a_reason(fleet):
    async def scenario(session, url):
        await sign_in(session, url)
        _, text = await get(session, url, "/models/lm")
        form = form_fields(text)
        status, text = await post(
            session, url, "/preview", {**form, "current": "v9"}
        )
        assert status == 422 and "models/lm/current" in text
        status, text = await post(
            session, url, "/preview", {**form, "loads_at_once": "many"}
        )
        assert status == 400 and "loads_at_once" in text
        status, text = await post(
            session, url, "/preview", {**form, "csrf": "forged"}
        )
        assert status == 403
        status, text = await post(session, url, "/preview", {"csrf": "x"})
        assert status == 403

    run(fleet, scenario)


def test_output_is_escaped(fleet):
    async def scenario(session, url):
        await sign_in(session, url)
        script = "<script>alert(1)</script>"
        _, text = await get(session, url, "/rules/+")
        form = {
            **form_fields(text),
            "part-name": script,
            "service": script,
            "class_name": "interactive",
            "path": "/x",
        }
        status, text = await post(session, url, "/preview", form)
        assert status == 422 and "<script>" not in text
        _, text = await get(session, url, f"/rules/{'%3Cscript%3E'}")
        assert "<script>" not in text

    run(fleet, scenario)


def test_a_document_item_is_added_and_deleted(fleet):
    async def scenario(session, url):
        await sign_in(session, url)
        _, text = await get(session, url, "/rules/+")
        form = {
            **form_fields(text),
            "part-name": "quotes",
            "service": "fitter-portal",
            "path": "/quotes",
        }
        _, text = await post(session, url, "/preview", form)
        status, text = await post(session, url, "/apply", form_fields(text))
        assert status == 200, text
        _, text = await get(session, url, "/rules/quotes")
        form = {**form_fields(text), "delete": "1"}
        _, text = await post(session, url, "/preview", form)
        status, text = await post(session, url, "/apply", form_fields(text))
        assert status == 200, text
        status, _ = await get(session, url, "/rules/quotes")
        assert status == 404

    run(fleet, scenario)
