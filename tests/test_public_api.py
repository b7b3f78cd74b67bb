import bulrushcove


def test_every_public_name_stands():
    assert all(hasattr(bulrushcove, name) for name in bulrushcove.__all__)
    assert list(bulrushcove.__all__) == sorted(bulrushcove.__all__)
