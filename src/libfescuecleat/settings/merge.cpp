#include "settings/merge.h"

namespace fescuecleat {

namespace {

    bool isObject(const JsonValue& value) { return value.category() == JsonValue::Object; }

    void addCopy(JsonValue& object, const std::string& name, const JsonValue& value)
    {
        JsonValue& member = object.addMember(name);
        member = value;
        member.setName(name);
    }

    /** Adds the merged value of one overlay member to the result; adds nothing for null, which removes the member. */
    void addMerged(JsonValue& result, const JsonValue* base, const JsonValue& overlay)
    {
        if (overlay.isNull())
            return;
        if (!isObject(overlay)) {
            addCopy(result, overlay.name(), overlay);
            return;
        }
        const bool hasBase = base && isObject(*base);
        addCopy(result, overlay.name(), merge(hasBase ? *base : jsonObject(), overlay));
    }

}

JsonValue merge(const JsonValue& base, const JsonValue& overlay)
{
    if (!isObject(overlay))
        return overlay;
    if (!isObject(base))
        return merge(jsonObject(), overlay);

    JsonValue result = jsonObject();
    for (const JsonValue& member : base) {
        const JsonValue* replacement = overlay.findMember(member.name());
        if (replacement)
            addMerged(result, &member, *replacement);
        else
            addCopy(result, member.name(), member);
    }
    for (const JsonValue& member : overlay) {
        if (!base.findMember(member.name()))
            addMerged(result, nullptr, member);
    }
    return result;
}

JsonValue merge(const JsonValue& base, const std::vector<JsonValue>& overlays)
{
    JsonValue result = base;
    for (const JsonValue& overlay : overlays)
        replace(result, merge(result, overlay));
    return result;
}

}
